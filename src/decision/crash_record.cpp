#include <waxwingvale/decision/crash_record.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace waxwingvale::decision {

namespace {

// More runs than any verdict needs, so that copies lost at once all count.
constexpr std::size_t most_runs = 8;
constexpr std::size_t ends_for_proof = 2;

bool has_ended(const lost_run& run) {
    return run.verdict == run_verdict::ended;
}

bool tells_less(const lost_run& a, const lost_run& b) {
    const auto rank = [](const lost_run& run) {
        const bool excused = run.verdict == run_verdict::excused;
        return std::make_tuple(!excused, has_ended(run), run.alone, run.at);
    };
    return rank(a) < rank(b);
}

} // namespace

bool crash_record::add(const lost_run& run) {
    const auto same =
        std::find_if(runs_.begin(), runs_.end(), [&](const lost_run& each) {
            return each.is_same_event(run);
        });
    if (same != runs_.end()) {
        const auto verdict = std::max(same->verdict, run.verdict);
        const bool changed = verdict != same->verdict;
        same->verdict = verdict;
        return changed;
    }
    if (cleared_ && run.at <= *cleared_) {
        return false;
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
        if (there && run.verdict == run_verdict::open) {
            run.verdict = run_verdict::ended;
            changed = true;
        }
    }
    return changed;
}

bool crash_record::settle_survived(const backend_process& process,
                                   time_point sent) {
    return excuse([&](const lost_run& run) {
        return run.process == process && run.at < sent;
    });
}

bool crash_record::excuse_seen_by(const std::string& instance,
                                  time_point since) {
    return excuse([&](const lost_run& run) {
        const bool undecided = run.alone && run.verdict == run_verdict::open;
        return run.seen_by == instance && run.at >= since && !undecided;
    });
}

bool crash_record::clear(time_point sent) {
    cleared_ = std::max(cleared_.value_or(sent), sent);
    return excuse([&](const lost_run& run) { return run.at <= sent; });
}

template <typename Matches>
bool crash_record::excuse(Matches matches) {
    bool changed = false;
    for (auto& run : runs_) {
        if (run.verdict != run_verdict::excused && matches(run)) {
            run.verdict = run_verdict::excused;
            changed = true;
        }
    }
    return changed;
}

std::size_t crash_record::ended_processes() const {
    std::set<std::pair<std::string, std::uint64_t>> ended;
    for (const auto& run : runs_) {
        if (has_ended(run)) {
            ended.insert({run.process.backend_server, run.process.incarnation});
        }
    }
    return ended.size();
}

bool crash_record::proves_crash() const {
    const bool any_alone =
        std::any_of(runs_.begin(), runs_.end(), [](const lost_run& run) {
            return run.alone && has_ended(run);
        });
    return any_alone && ended_processes() >= ends_for_proof &&
           ended_whatever_varies();
}

bool crash_record::ended_whatever_varies() const {
    std::set<std::uint64_t> variants;
    for (const auto& run : runs_) {
        if (has_ended(run)) {
            variants.insert(run.variant);
        }
    }
    return variants.count(0) != 0 || variants.size() > 1;
}

bool crash_record::is_suspect() const {
    return std::any_of(runs_.begin(), runs_.end(), [](const lost_run& run) {
        return run.verdict != run_verdict::excused;
    });
}

const lost_run* crash_record::latest_lost() const {
    const lost_run* latest = nullptr;
    for (const auto& run : runs_) {
        const bool counts = run.verdict != run_verdict::excused;
        if (counts && (latest == nullptr || latest->at < run.at)) {
            latest = &run;
        }
    }
    return latest;
}

const lost_run* crash_record::undecided_trial() const {
    const lost_run* latest = nullptr;
    for (const auto& run : runs_) {
        const bool waits = run.alone && run.verdict == run_verdict::open;
        if (waits && (latest == nullptr || latest->at < run.at)) {
            latest = &run;
        }
    }
    return latest;
}

} // namespace waxwingvale::decision
