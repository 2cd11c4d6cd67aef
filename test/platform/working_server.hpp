#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <utility>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::platform {

// A backend server of some slots that works on each request for a fixed time,
// and turns away what comes while all slots are in use.
class working_server {
public:
    // Told of each run that begins, by its attempt.
    using run_handler = std::function<void(const std::string& attempt)>;

    working_server(kernel::event_loop& loop, kernel::timer_service& timers,
                   std::string id, duration work, unsigned slots = 4);
    working_server(const working_server&) = delete;
    working_server& operator=(const working_server&) = delete;

    const std::string& id() const { return id_; }
    std::uint16_t port() const { return server_.port(); }
    // The entry under which the platform lists it, at that port.
    std::string entry(const std::string& service, const std::string& zone,
                      std::uint16_t reached_at) const;
    unsigned runs() const { return runs_; }
    void on_run(run_handler handler) { on_run_ = std::move(handler); }

private:
    struct run {
        io::http_responder respond;
        std::string attempt;
        kernel::timer_service::subscription end;
    };

    void take(const io::http_request& request,
              const io::http_responder& respond);
    io::http_response made(unsigned status) const;

    kernel::timer_service& timers_;
    std::string id_;
    duration work_;
    unsigned slots_;
    run_handler on_run_;
    std::list<run> running_;
    unsigned runs_ = 0;
    io::http_server server_; // last: it answers while it ends
};

} // namespace waxwingvale::platform
