#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "http.hpp"

namespace review {

// What a backend does with a request that it has read: an answer's text to be
// sent; empty: the connection is closed without one.
using request_handler = std::function<std::string(const message& request)>;

// What a backend says of its health.
struct health_answer {
    bool healthy = true;
    // The answer comes a second time, late: where the next response on the
    // connection is expected.
    bool again_late = false;
};

// A backend as the pages describe it: it answers its liveness check, turns away
// what names another backend, and hands each request to the case.
class backend {
public:
    backend(std::string id, const std::string& host, unsigned slots,
            request_handler on_request);
    ~backend();
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    // Asked for each liveness check; without it the backend is healthy.
    void on_health(std::function<health_answer()> handler) {
        on_health_ = std::move(handler);
    }

    const std::string& id() const { return id_; }
    // The value of its entry in the store.
    std::string entry(const std::string& service,
                      const std::string& zone) const;
    // Requests running, requests waiting, slots.
    std::string load() const;

private:
    void serve(int descriptor);
    std::string answer(const message& request, std::string& late);
    std::string health(std::string& late);

    std::string id_;
    std::string host_;
    unsigned slots_;
    request_handler on_request_;
    std::function<health_answer()> on_health_;
    int listener_;
    std::uint16_t port_;
    std::atomic<bool> ended_{false};
    std::atomic<unsigned> running_{0};
    std::thread accepting_;
};

// An answer to a request that has run, signed and with the request's id.
std::string ran(const backend& by, const message& request,
                const std::string& body);
// An answer to a request that has not run.
std::string not_executed(const backend& by, const message& request);

} // namespace review
