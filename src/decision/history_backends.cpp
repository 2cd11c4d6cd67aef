#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

using process_id = std::pair<std::string, std::uint64_t>;

process_id id_of(const backend_process& process) {
    return {process.backend_server, process.incarnation};
}

std::string name_of(const process_id& process) {
    return process.first + '/' + std::to_string(process.second);
}

template <typename Kind>
std::map<process_id, time_point> first_times(const history& events) {
    std::map<process_id, time_point> times;
    for_each_event<Kind>(events, [&](time_point at, const Kind& event) {
        times.emplace(id_of(event.backend), at);
    });
    return times;
}

constexpr double micros_per_second = 1e6;

} // namespace

void check_no_new_work(const history& events, const history_bounds& bounds,
                       violations& found) {
    const auto leaving = first_times<backend_leaving>(events);
    const auto check = [&](time_point at, const backend_process& backend) {
        const auto left = leaving.find(id_of(backend));
        if (left != leaving.end() && at > left->second + bounds.no_new_work) {
            found.push_back(
                {history_rule::no_new_work, at, name_of(left->first),
                 "received work after announcing that it is leaving"});
        }
    };
    for_each_event<run_began>(events, [&](time_point at, const run_began& run) {
        check(at, run.backend);
    });
    for_each_event<work_refused>(events,
                                 [&](time_point at, const work_refused& work) {
                                     check(at, work.backend);
                                 });
}

namespace {

// Identifies a run in progress by backend process and request.
using run_id = std::pair<process_id, std::string>;

void check_stopped(const std::map<run_id, time_point>& running,
                   const process_id& stopped, time_point at,
                   violations& found) {
    for (const auto& [run, began] : running) {
        if (run.first == stopped) {
            found.push_back(
                {history_rule::backend_not_cut, at, run.second,
                 "was running at " + name_of(stopped) + " when it stopped"});
        }
    }
}

} // namespace

void check_backend_not_cut(const history& events, const history_bounds&,
                           violations& found) {
    const auto leaving = first_times<backend_leaving>(events);
    std::map<run_id, time_point> running;
    std::map<std::string, request_nature> natures;
    for_each_event<request_invoked>(
        events, [&](time_point, const request_invoked& invoked) {
            natures[invoked.request] = invoked.nature;
        });
    const auto was_cut_off = [&](time_point at, const run_ended& run) {
        const auto left = leaving.find(id_of(run.backend));
        const auto nature = natures.find(run.request);
        // A read may be cancelled because another attempt of a hedge answered
        // first.
        return run.reason == run_end_reason::cancelled &&
               left != leaving.end() && at > left->second &&
               nature != natures.end() &&
               nature->second == request_nature::at_most_once;
    };
    for (const auto& event : events) {
        if (const auto* began = std::get_if<run_began>(&event.payload)) {
            running[{id_of(began->backend), began->request}] = event.at;
        } else if (const auto* ended = std::get_if<run_ended>(&event.payload)) {
            running.erase({id_of(ended->backend), ended->request});
            if (was_cut_off(event.at, *ended)) {
                found.push_back({history_rule::backend_not_cut, event.at,
                                 ended->request,
                                 "was cancelled while its backend server was "
                                 "leaving"});
            }
        } else if (const auto* stopped =
                       std::get_if<backend_stopped>(&event.payload)) {
            check_stopped(running, id_of(stopped->backend), event.at, found);
        }
    }
}

void check_probe_budget(const history& events, const history_bounds& bounds,
                        violations& found) {
    // A restarted backend server runs on the same hosts and has the same
    // budget, so probes are counted by name and not by process.
    std::map<std::string, std::vector<time_point>> probes;
    for_each_event<backend_probed>(
        events, [&](time_point at, const backend_probed& probed) {
            probes[probed.backend.backend_server].push_back(at);
        });
    for (const auto& [backend, times] : probes) {
        // A leaky bucket that drains at the probe rate overflows at a probe
        // exactly when some window that ends with this probe contains too many
        // probes.
        double level = 0;
        time_point previous = times.front();
        for (const auto at : times) {
            const auto gap = static_cast<double>((at - previous).count());
            const double drained = gap / micros_per_second * bounds.probe_rate;
            level = std::max(0.0, level - drained) + 1.0;
            previous = at;
            if (level > bounds.probe_burst + 1e-6) {
                found.push_back(
                    {history_rule::probe_budget, at, backend,
                     "was probed more often than the probe budget allows"});
                break;
            }
        }
    }
}

} // namespace waxwingvale::decision
