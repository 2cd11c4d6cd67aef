#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/forwarding/backend_call.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/memory_account.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::forwarding {

struct backend_pool_counters {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_failed = 0; // refused, or not open in time
    std::uint64_t reused = 0;             // calls on a kept connection
    std::uint64_t stray_answers = 0;      // answers that nobody waited for
    std::uint64_t no_room = 0; // calls refused at the limit of connections
};

// Bytes of a backend server that are no answer, or answer nothing that was
// asked.
struct malformed_bytes {
    std::string backend_server;
    call_purpose purpose = call_purpose::request; // of the connection
    std::string detail;                           // what they are
};

// Connections to backend servers and the calls on them: HTTP/1.1 by the
// Boost.Beast parser on the task's libev loop. It never sends a request a
// second time, and knows whether a byte of it has left; libcurl does the
// former by itself on a kept connection that turns out closed
// (test/io/silent_resend_test.cpp).
class backend_pool {
public:
    using call_id = std::uint64_t;
    using handler = std::function<void(backend_result)>;

    backend_pool(kernel::event_loop& loop, kernel::timer_service& timers);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    // The handler is called exactly once, never from within send(), unless
    // the call is cancelled.
    call_id send(backend_call call, handler on_done,
                 long_answer_handlers on_long = {});
    // Ends the call and its connection, which tells the backend server to stop
    // working at it; its handler is not called.
    void cancel(call_id call);
    // Whether a byte of the call's request has left; false once it has ended.
    bool sent(call_id call) const;
    // Whether the call is open and no byte of it has left, so that it has not
    // run if it is cancelled now.
    bool unsent(call_id call) const;
    // Holds back, or goes on reading, the answer of that call.
    void pause(call_id call);
    void resume(call_id call);

    // Most connections to one backend server, and of those most that are kept
    // while idle.
    void limit_connections(std::size_t open, std::size_t idle);
    // Counts there what its connections hold; for those made from now on.
    void charge_to(const kernel::memory_account_ptr& account);
    // Called with each such find; it must not use the pool.
    void on_malformed(std::function<void(const malformed_bytes&)> told);
    // Closes the idle connections to that server: it is leaving or gone.
    void forget(const std::string& backend_server);

    std::size_t open_calls() const;
    const backend_pool_counters& counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::forwarding
