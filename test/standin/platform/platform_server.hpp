#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "standin/platform/published_values.hpp"
#include "standin/request_target.hpp"

namespace waxwingvale::standin {

// Plays the platform's configuration service: values are read and watched,
// each call is counted, and faults are made by command.
class platform_server {
public:
    platform_server(kernel::event_loop& loop, kernel::timer_service& timers,
                    std::uint16_t port);
    result<void> start();
    std::uint16_t port() const { return server_.port(); }

private:
    enum class fault_mode { up, down, stale, slow };
    using answer_handler = void (platform_server::*)(const io::http_request&,
                                                     const request_target&,
                                                     io::http_responder);

    // A reader that waits for a revision other than the one it has.
    struct watch {
        std::string name;
        std::uint64_t after = 0;
        io::http_responder respond;
        kernel::timer_service::subscription expiry;
    };

    void handle(const io::http_request& request, io::http_responder respond);
    void read_value(const io::http_request& request,
                    const request_target& target, io::http_responder respond);
    void put_value(const io::http_request& request,
                   const request_target& target, io::http_responder respond);
    void set_fault(const io::http_request& request,
                   const request_target& target, io::http_responder respond);
    void tell_counts(const io::http_request& request,
                     const request_target& target, io::http_responder respond);

    void answer_read(const std::string& name, const request_target& target,
                     const io::http_responder& respond);
    void add_watch(const std::string& name, std::uint64_t after, duration wait,
                   const io::http_responder& respond);
    void answer_watches();
    const published_value* visible(const std::string& name) const;
    void count_call();

    kernel::timer_service& timers_;
    io::http_server server_;
    published_values values_;
    std::list<watch> watches_;
    std::list<kernel::timer_service::subscription> delayed_;
    fault_mode mode_ = fault_mode::up;
    duration delay_{};
    std::size_t publications_ago_ = 1;
    time_point started_;
    std::uint64_t calls_ = 0;
    std::vector<std::uint64_t> calls_by_second_;
};

} // namespace waxwingvale::standin
