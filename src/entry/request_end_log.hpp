#pragma once

#include <functional>
#include <map>
#include <string>

#include <waxwingvale/forwarding/request_end.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Leaves one line for each request that was read, of how it ended and whose
// doing that was, and counts it. docs/operations/log-lines.md explains the
// fields.
class request_end_log {
public:
    // `event` names the lines; `metric` the counter, its label `end`.
    // `arm` sees that lines which wait are handed on.
    request_end_log(std::string event, const std::string& metric,
                    program::metrics& all, std::function<void()> arm);

    void record(const forwarding::ended_request& ended);

private:
    std::string event_;
    std::map<forwarding::request_end, program::counter> counters_;
    std::function<void()> arm_;
};

} // namespace waxwingvale::entry
