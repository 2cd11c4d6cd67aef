#include <waxwingvale/decision/process_signs.hpp>

#include <algorithm>
#include <iterator>

namespace waxwingvale::decision {

namespace {

// Far longer than word takes from one instance to another.
constexpr duration kept_for = std::chrono::seconds(60);
// A run is lost with its process, but a peer's word of it counts its age from
// the moment at which it comes. A run lost later was at another process.
constexpr duration word_within = std::chrono::seconds(2);

} // namespace

void process_signs::note_answer(const backend_process& process,
                                time_point sent) {
    auto& known = of_servers_[process.backend_server];
    const bool later =
        !known.has_answered || process.incarnation > known.answered_by ||
        (process.incarnation == known.answered_by && sent > known.answered);
    if (later) {
        known.answered_by = process.incarnation;
        known.answered = sent;
        known.has_answered = true;
        known.has_ended = known.has_ended && sent <= known.ended;
    }
}

void process_signs::note_end(const backend_process& process, time_point now) {
    auto& known = of_servers_[process.backend_server];
    known.ended_up_to = std::max(known.ended_up_to, process.incarnation);
    known.ended = now;
    known.has_ended = true;
}

lost_run process_signs::judged(lost_run run) const {
    const auto found = of_servers_.find(run.process.backend_server);
    if (found == of_servers_.end() || run.verdict == run_verdict::excused) {
        return run;
    }
    const auto& known = found->second;
    const auto incarnation = run.process.incarnation;
    const bool survived = known.has_answered &&
                          known.answered_by == incarnation &&
                          known.answered > run.at;
    if (survived) {
        run.verdict = run_verdict::excused;
        return run;
    }
    const bool followed = known.has_answered && known.answered_by > incarnation;
    const bool ended = known.has_ended && known.ended_up_to >= incarnation &&
                       run.at <= known.ended + word_within;
    if (followed || ended) {
        run.verdict = run_verdict::ended;
    }
    return run;
}

void process_signs::tick(time_point now) {
    for (auto at = of_servers_.begin(); at != of_servers_.end();) {
        const auto latest = std::max(at->second.answered, at->second.ended);
        at = now - latest >= kept_for ? of_servers_.erase(at) : std::next(at);
    }
}

} // namespace waxwingvale::decision
