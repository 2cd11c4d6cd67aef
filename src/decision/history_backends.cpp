#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

using life_key = std::pair<std::string, std::uint64_t>;

life_key key_of(const backend_life& life) {
    return {life.backend_server, life.incarnation};
}

std::string name_of(const life_key& life) {
    return life.first + '/' + std::to_string(life.second);
}

template <typename Kind>
std::map<life_key, time_point> first_times(const history& events) {
    std::map<life_key, time_point> times;
    for_each_event<Kind>(events, [&](time_point at, const Kind& event) {
        times.emplace(key_of(event.backend), at);
    });
    return times;
}

constexpr double micros_per_second = 1e6;

} // namespace

void check_no_new_work(const history& events, const history_bounds& bounds,
                       violations& found) {
    const auto leaving = first_times<backend_leaving>(events);
    const auto check = [&](time_point at, const backend_life& backend) {
        const auto left = leaving.find(key_of(backend));
        if (left != leaving.end() && at > left->second + bounds.no_new_work) {
            found.push_back({history_rule::no_new_work, at,
                             name_of(left->first),
                             "was given work after it had said it leaves"});
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

// A run that is under way, by backend server life and request.
using run_key = std::pair<life_key, std::string>;

void check_stopped(const std::map<run_key, time_point>& running,
                   const life_key& stopped, time_point at, violations& found) {
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
    std::map<run_key, time_point> running;
    std::map<std::string, request_nature> natures;
    for_each_event<request_invoked>(
        events, [&](time_point, const request_invoked& invoked) {
            natures[invoked.request] = invoked.nature;
        });
    const auto cut_off = [&](time_point at, const run_ended& run) {
        const auto left = leaving.find(key_of(run.backend));
        const auto nature = natures.find(run.request);
        // A read may be cancelled, as the loser of a hedge.
        return run.how == run_ending::cancelled && left != leaving.end() &&
               at > left->second && nature != natures.end() &&
               nature->second == request_nature::at_most_once;
    };
    for (const auto& event : events) {
        if (const auto* began = std::get_if<run_began>(&event.what)) {
            running[{key_of(began->backend), began->request}] = event.at;
        } else if (const auto* ended = std::get_if<run_ended>(&event.what)) {
            running.erase({key_of(ended->backend), ended->request});
            if (cut_off(event.at, *ended)) {
                found.push_back({history_rule::backend_not_cut, event.at,
                                 ended->request,
                                 "was cancelled while its backend server was "
                                 "leaving"});
            }
        } else if (const auto* stopped =
                       std::get_if<backend_stopped>(&event.what)) {
            check_stopped(running, key_of(stopped->backend), event.at, found);
        }
    }
}

void check_probe_budget(const history& events, const history_bounds& bounds,
                        violations& found) {
    // A restarted backend server has the same hosts and the same budget.
    std::map<std::string, std::vector<time_point>> probes;
    for_each_event<backend_probed>(
        events, [&](time_point at, const backend_probed& probed) {
            probes[probed.backend.backend_server].push_back(at);
        });
    for (const auto& [backend, times] : probes) {
        // The fullest window ends at some probe: a leaky bucket that would
        // overflow there holds one probe too many for the window before it.
        double level = 0;
        time_point before = times.front();
        for (const auto at : times) {
            const auto gap = static_cast<double>((at - before).count());
            const double drained = gap / micros_per_second * bounds.probe_rate;
            level = std::max(0.0, level - drained) + 1.0;
            before = at;
            if (level > bounds.probes_saved + 1e-6) {
                found.push_back({history_rule::probe_budget, at, backend,
                                 "was probed beyond the budget"});
                break;
            }
        }
    }
}

} // namespace waxwingvale::decision
