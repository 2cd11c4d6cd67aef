#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/forwarding/caller_exchange.hpp>
#include <waxwingvale/forwarding/overload_guard.hpp>
#include <waxwingvale/forwarding/request_end.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/caller_limits.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::forwarding {

// Where callers connect, and how many of them may.
struct caller_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0: any free port, see port()
    std::size_t connection_limit = 4096;
    // Bytes that a caller may send ahead of their being read; 0: as many as the
    // system lets it.
    std::size_t receive_buffer = 0;
    // Shared by all servers of an instance; null: nothing is too much.
    overload_guard_ptr guard;
};

// What callers may send to an address that only asks questions: a head of the
// usual size, and next to no body.
caller_limits small_requests();

struct caller_server_counters {
    std::uint64_t accepted = 0;
    std::uint64_t refused_connection_limit = 0;
    std::uint64_t replaced = 0; // connections that gave way to new ones
    std::uint64_t requests = 0;
    std::uint64_t faulty = 0;    // bytes that are no request, or too large
    std::uint64_t too_slow = 0;  // heads that did not come in time
    std::uint64_t idle = 0;      // connections closed since nothing was asked
    std::uint64_t abandoned = 0; // the caller left before its answer
};

// The callers' side of the request path: HTTP/1.1 by the Boost.Beast parser on
// the task's libev loop.
//
// libmicrohttpd, which serves everything else here, does not read a connection
// whose request waits for its answer, so that a caller who leaves goes
// unnoticed; it cannot close a kept connection at the end of a process without
// cutting another; and a request through it and libcurl took 156 us of a core
// (tools/measure-entry), most of it in the two libraries.
class caller_server {
public:
    using handler = std::function<void(caller_exchange_ptr)>;
    using end_handler = std::function<void(const ended_request&)>;

    caller_server(kernel::event_loop& loop, kernel::timer_service& timers,
                  caller_server_options options);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // Fails with unavailable when the address cannot be listened on.
    result<void> start(handler on_request);
    // The same at another port than the options name.
    result<void> start(handler on_request, std::uint16_t port);
    std::uint16_t port() const;

    // Called once for each request that was read, when it has ended; for those
    // that are open when the server goes too.
    void on_request_ended(end_handler on_end);

    void change_limits(const caller_limits& limits);
    // From now on every answer asks its caller to close the connection.
    void ask_to_close();
    // Takes no new connections; those open are served on.
    void stop_accepting();
    // Closes connections on which nothing is asked at the moment.
    void close_idle();

    // Requests handed over and not yet fully answered.
    std::size_t pending() const;
    std::size_t connections() const;
    const caller_server_counters& counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::forwarding
