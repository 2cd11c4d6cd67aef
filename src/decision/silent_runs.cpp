#include <waxwingvale/decision/silent_runs.hpp>

#include <algorithm>
#include <iterator>

namespace waxwingvale::decision {

namespace {

// Longer than it takes until a registry notices a server's end.
constexpr duration kept_for = std::chrono::seconds(30);

} // namespace

void silent_runs::add(const silent_run& run) {
    if (runs_.size() == limit_) {
        runs_.erase(runs_.begin());
    }
    runs_.push_back(run);
}

void silent_runs::on_answered(const backend_process& process, time_point sent) {
    runs_.erase(std::remove_if(runs_.begin(), runs_.end(),
                               [&](const silent_run& run) {
                                   return run.process == process &&
                                          run.ended < sent;
                               }),
                runs_.end());
}

template <typename Matches>
std::vector<silent_run> silent_runs::take(Matches matches) {
    const auto lost =
        std::stable_partition(runs_.begin(), runs_.end(),
                              [&](const auto& run) { return !matches(run); });
    std::vector<silent_run> taken(lost, runs_.end());
    runs_.erase(lost, runs_.end());
    return taken;
}

std::vector<silent_run> silent_runs::take_lost(const backend_process& process) {
    return take([&](const silent_run& run) { return run.process == process; });
}

std::vector<silent_run>
silent_runs::take_unanswered(const backend_process& process, time_point sent) {
    return take([&](const silent_run& run) {
        return run.process == process && run.ended < sent;
    });
}

void silent_runs::tick(time_point now) {
    runs_.erase(std::remove_if(runs_.begin(), runs_.end(),
                               [&](const silent_run& run) {
                                   return now - run.ended >= kept_for;
                               }),
                runs_.end());
}

} // namespace waxwingvale::decision
