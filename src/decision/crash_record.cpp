#include <waxwingvale/decision/crash_record.hpp>

#include <algorithm>
#include <tuple>

namespace waxwingvale::decision {

namespace {

// More runs than any verdict needs, so that copies lost at once all count.
constexpr std::size_t most_runs = 8;
constexpr std::size_t ends_for_proof = 2;

bool has_ended(const lost_run& run) {
    return run.fate == process_fate::ended;
}

bool tells_less(const lost_run& a, const lost_run& b) {
    const auto rank = [](const lost_run& run) {
        const bool survived = run.fate == process_fate::survived;
        return std::make_tuple(!survived, has_ended(run), run.alone, run.at);
    };
    return rank(a) < rank(b);
}

// Reads `told` as news of the same process. Returns whether it was any.
bool learn(lost_run& known, const lost_run& told) {
    const auto before = known;
    const bool known_survived = known.fate == process_fate::survived;
    const bool told_survived = told.fate == process_fate::survived;
    if (known_survived != told_survived) {
        // Whichever is later holds: a process that survived may end later.
        known = told.at > known.at ? told : known;
        return !(before == known);
    }
    known.alone = known.alone || told.alone;
    known.fate = std::max(known.fate, told.fate);
    known.at = std::max(known.at, told.at);
    return before.alone != known.alone || before.fate != known.fate;
}

} // namespace

bool crash_record::add(const lost_run& run) {
    if (cleared_ && run.at <= *cleared_) {
        return false;
    }
    const auto same =
        std::find_if(runs_.begin(), runs_.end(), [&](const lost_run& each) {
            return each.process == run.process;
        });
    if (same != runs_.end()) {
        return learn(*same, run);
    }
    if (runs_.size() == most_runs) {
        runs_.erase(std::min_element(runs_.begin(), runs_.end(), tells_less));
    }
    runs_.push_back(run);
    return true;
}

bool crash_record::settle_ended(const backend_process& process) {
    return settle(process.backend_server, [&](std::uint64_t incarnation) {
        return incarnation <= process.incarnation;
    });
}

bool crash_record::settle_followed(const backend_process& by) {
    return settle(by.backend_server, [&](std::uint64_t incarnation) {
        return incarnation < by.incarnation;
    });
}

template <typename Matches>
bool crash_record::settle(const std::string& backend_server, Matches matches) {
    bool changed = false;
    for (auto& run : runs_) {
        const bool there = run.process.backend_server == backend_server &&
                           matches(run.process.incarnation);
        if (there && run.fate == process_fate::open) {
            run.fate = process_fate::ended;
            changed = true;
        }
    }
    return changed;
}

bool crash_record::settle_survived(const backend_process& process,
                                   time_point sent) {
    bool changed = false;
    for (auto& run : runs_) {
        if (run.process == process && run.at < sent &&
            run.fate != process_fate::survived) {
            run.fate = process_fate::survived;
            run.at = sent;
            changed = true;
        }
    }
    return changed;
}

bool crash_record::clear(time_point sent) {
    if (cleared_ && sent <= *cleared_) {
        return false;
    }
    const auto counted = runs_.size();
    cleared_ = sent;
    runs_.erase(std::remove_if(
                    runs_.begin(), runs_.end(),
                    [&](const lost_run& run) { return run.at <= *cleared_; }),
                runs_.end());
    return runs_.size() != counted;
}

std::size_t crash_record::ended_processes() const {
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), has_ended));
}

bool crash_record::proves_crash() const {
    const bool any_alone =
        std::any_of(runs_.begin(), runs_.end(), [](const lost_run& run) {
            return run.alone && has_ended(run);
        });
    return any_alone && ended_processes() >= ends_for_proof;
}

bool crash_record::is_suspect() const {
    return std::any_of(runs_.begin(), runs_.end(), [](const lost_run& run) {
        return run.fate != process_fate::survived;
    });
}

const lost_run* crash_record::latest_lost() const {
    const lost_run* latest = nullptr;
    for (const auto& run : runs_) {
        const bool counts = run.fate != process_fate::survived;
        if (counts && (latest == nullptr || latest->at < run.at)) {
            latest = &run;
        }
    }
    return latest;
}

const lost_run* crash_record::undecided_trial() const {
    const lost_run* latest = nullptr;
    for (const auto& run : runs_) {
        const bool waits = run.alone && run.fate == process_fate::open;
        if (waits && (latest == nullptr || latest->at < run.at)) {
            latest = &run;
        }
    }
    return latest;
}

} // namespace waxwingvale::decision
