#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <waxwingvale/decision/shedding.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/memory_account.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::forwarding {

// The limit at which a caller was turned away.
enum class overload_limit {
    memory,      // what callers hold of this instance's memory
    connections, // open connections of one address
    descriptors  // of this process; none was left
};

const char* to_string(overload_limit limit);

// One connection that was refused or closed because of a limit.
struct turned_away {
    overload_limit limit = overload_limit::memory;
    std::string peer;      // the caller's IP number
    std::size_t bytes = 0; // that it held
};

inline bool operator==(const turned_away& a, const turned_away& b) {
    return a.limit == b.limit && a.peer == b.peer && a.bytes == b.bytes;
}

// A connection that can be given up for its memory.
class shed_candidate {
public:
    virtual ~shed_candidate() = default;
    virtual decision::held_connection holding() const = 0;
    // Refuses its request or closes it, so that it holds next to nothing. May
    // end requests, but calls nobody who is told of new ones.
    virtual void shed() = 0;
};

// Keeps what callers hold, at all addresses of an instance together, within the
// instance's memory.
class overload_guard {
public:
    struct limits {
        std::size_t held_bytes = 0;   // by all
        std::size_t spared_bytes = 0; // whoever holds less is not given up
    };
    using handler = std::function<void(const turned_away&)>;

    overload_guard(kernel::event_loop& loop, kernel::timer_service& timers,
                   limits bounds);
    ~overload_guard();
    overload_guard(const overload_guard&) = delete;
    overload_guard& operator=(const overload_guard&) = delete;

    // Where all parts count what they hold for callers.
    const kernel::memory_account_ptr& account() const { return account_; }

    void add(shed_candidate& open) { open_.insert(&open); }
    void remove(shed_candidate& closed) { open_.erase(&closed); }

    // Gives up as many connections as are too many. Not for code that may be
    // called while a request is handed over or ends: see settle_soon().
    void settle();
    // The same once the handlers of this turn are done, if it is needed then.
    void settle_soon();

    void on_turned_away(handler told) { told_ = std::move(told); }
    void note(const turned_away& what) const;

private:
    void watch_memory();
    void look_at_memory();

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    limits limits_;
    kernel::memory_account_ptr account_;
    std::unordered_set<shed_candidate*> open_;
    handler told_;
    bool settles_soon_ = false;
    bool watching_ = false;
    kernel::timer_service::subscription looking_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

using overload_guard_ptr = std::shared_ptr<overload_guard>;

} // namespace waxwingvale::forwarding
