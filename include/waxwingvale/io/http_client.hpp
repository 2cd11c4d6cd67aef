#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::io {

// A request to be sent.
struct http_call {
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    duration timeout = std::chrono::seconds(10);
    duration connect_timeout = std::chrono::seconds(1);
    // Opens a new connection for it. libcurl silently sends a request again
    // when a kept connection turns out closed; what must run at most once may
    // only go out on a new one, where it never does.
    bool fresh_connection = false;
};

// How a call ended.
struct http_call_result {
    result<http_response> response;
    // False when provably no byte of the request left this process.
    bool sent = false;
};

// An HTTP/1.1 client by libcurl multi on the task's libev loop, with kept
// connections per host and port.
class http_client {
public:
    using call_id = std::uint64_t;
    using handler = std::function<void(http_call_result)>;

    struct limits {
        std::size_t connections_per_host = 200;
        std::size_t connections_total = 4096;
        std::size_t response_body = 16 * 1024 * 1024; // bytes
    };

    http_client(kernel::event_loop& loop, limits bounds);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // The handler is called exactly once, never from within send().
    call_id send(http_call call, handler on_done);
    // Ends the call and its connection; its handler is not called. Returns
    // whether the call was still open.
    bool cancel(call_id call);
    std::size_t open_calls() const;
    // Bytes that have come of an open call's answer; 0 of one that has ended.
    std::uint64_t received(call_id call) const;
    // From now on at most so many connections to one host and port.
    void limit_connections_per_host(std::size_t limit);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::io
