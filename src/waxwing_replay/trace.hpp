#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "waxwing_replay/workload.hpp"
#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>
#include <waxwingvale/model/error.hpp>

// A trace file has one JSON object a line: first the instances and their
// service, then every event with its instance and moment, last the outcome.
namespace waxwingvale::replay {

// What a trace states as the outcome of its events.
struct trace_outcome {
    std::uint64_t events = 0;
    std::uint64_t actions = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0; // expiries included
    std::uint64_t digest = 0;   // over all actions in order

    friend bool operator==(const trace_outcome& a, const trace_outcome& b);
};

// Adds the actions that one event gave.
void add_to_outcome(trace_outcome& outcome, std::uint64_t instance,
                    const std::vector<decision::scheduler_action>& actions);

// One line: "events 12, actions 7, ...".
std::string to_string(const trace_outcome& outcome);

// The stated outcome and the one that the events gave now.
struct trace_verdict {
    trace_outcome stated;
    trace_outcome replayed;
};

// Runs the workload and writes every event with the outcome.
trace_outcome record_trace(std::ostream& out, const workload& load,
                           const decision::scheduling_policy& knobs);

// Feeds the events of a trace to new schedulers. An error names the line.
result<trace_verdict> replay_trace(std::istream& in,
                                   const decision::scheduling_policy& knobs);

} // namespace waxwingvale::replay
