#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <waxwingvale/decision/crash_record.hpp>
#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// A run that got no answer in time.
struct silent_run {
    request_fingerprint fingerprint;
    backend_process process;
    time_point ended{};        // when nobody waited any longer
    std::uint64_t variant = 0; // see lost_run
};

// Runs that got no answer in time. Slow servers leave many of them, so that
// they make no request a suspect, until the process shows that it does not
// answer anything.
class silent_runs {
public:
    explicit silent_runs(std::size_t limit) : limit_(limit) {}

    void add(const silent_run& run);
    // The process answered what was sent to it at that moment.
    void on_answered(const backend_process& process, time_point sent);
    // The process has ended. Returns and forgets the runs that were lost there.
    std::vector<silent_run> take_lost(const backend_process& process);
    // The process has not answered what was sent to it at that moment either:
    // the same of the runs that had ended before.
    std::vector<silent_run> take_unanswered(const backend_process& process,
                                            time_point sent);
    void tick(time_point now);
    std::size_t size() const { return runs_.size(); }

private:
    template <typename Matches>
    std::vector<silent_run> take(Matches matches);

    std::size_t limit_;
    std::vector<silent_run> runs_; // the oldest first
};

} // namespace waxwingvale::decision
