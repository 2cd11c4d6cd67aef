#pragma once

#include <map>
#include <string>

#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Logs and counts by backend server what came from it that is no answer, or
// answers nothing that was asked.
class malformed_log {
public:
    malformed_log(kernel::timer_service& timers, program::metrics& all)
        : timers_(timers), all_(all) {}

    void record(const forwarding::malformed_bytes& found);

private:
    struct known_server {
        program::counter counted;
        time_point next_line{};
        unsigned since_line = 0; // finds that left no line
    };

    known_server& server(const std::string& name);

    kernel::timer_service& timers_;
    program::metrics& all_;
    std::map<std::string, known_server> servers_; // by name, at most so many
};

} // namespace waxwingvale::entry
