#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

// Where an HTTP server listens and what it accepts.
struct http_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;               // 0: any free port, see port()
    std::size_t body_limit = 1024 * 1024; // bytes; larger: 413
    unsigned connection_limit = 4096;
    // Bytes held for each open connection; a request's head must fit in.
    std::size_t connection_memory = 32 * 1024;
};

// Answers one request, now or later, on the server's thread. Copies answer
// the same request; only the first answer counts. If the server or connection
// has gone meanwhile the answer is dropped.
class http_responder {
public:
    struct exchange;
    explicit http_responder(std::shared_ptr<exchange> of);
    void operator()(http_response answer) const;
    // True once the caller's connection has ended without an answer.
    bool abandoned() const;

private:
    std::shared_ptr<exchange> exchange_;
};

// An HTTP/1.1 server by libmicrohttpd on the task's libev loop: no threads,
// requests are handed over whole and wait suspended until they are answered.
class http_server {
public:
    using handler = std::function<void(http_request, http_responder)>;

    http_server(kernel::event_loop& loop, http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Fails with unavailable when the address cannot be listened on.
    result<void> start(handler on_request);
    std::uint16_t port() const;

    // Takes no new connections; those open are served on. Part of a graceful
    // stop, followed by waiting until pending() is zero.
    void stop_accepting();
    // Requests received and not yet fully answered.
    std::size_t pending() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::io
