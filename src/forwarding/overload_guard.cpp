#include <waxwingvale/forwarding/overload_guard.hpp>

#include <malloc.h>
#include <utility>
#include <vector>

namespace waxwingvale::forwarding {

namespace {

using namespace std::chrono_literals;

// Beyond an eighth more than is needed comes free at once, so that not each
// further byte looks at all connections.
constexpr std::size_t freed_part = 8;
// Above this part of the limit, memory that came free is given back to the
// system; the allocator would keep it.
constexpr std::size_t usual_part = 4;
constexpr duration give_back_period = 500ms;

} // namespace

const char* to_string(overload_limit limit) {
    switch (limit) {
    case overload_limit::memory:
        return "memory";
    case overload_limit::connections:
        return "connections";
    case overload_limit::descriptors:
        return "descriptors";
    }
    return "unknown";
}

overload_guard::overload_guard(kernel::event_loop& loop,
                               kernel::timer_service& timers, limits bounds)
    : loop_(loop),
      timers_(timers),
      limits_(bounds),
      account_(std::make_shared<kernel::memory_account>(bounds.held_bytes)) {}

overload_guard::~overload_guard() = default;

void overload_guard::note(const turned_away& what) const {
    if (told_) {
        told_(what);
    }
}

void overload_guard::settle() {
    watch_memory();
    const auto excess = account_->excess();
    if (excess == 0) {
        return;
    }
    std::vector<shed_candidate*> candidates(open_.begin(), open_.end());
    std::vector<decision::held_connection> held;
    held.reserve(candidates.size());
    for (const auto* each : candidates) {
        held.push_back(each->holding());
    }
    const auto chosen = decision::choose_to_shed(
        held, excess + account_->limit() / freed_part, limits_.spared_bytes);
    for (const auto place : chosen) {
        // An earlier one may have ended it.
        if (open_.count(candidates[place]) != 0) {
            candidates[place]->shed();
        }
    }
}

void overload_guard::settle_soon() {
    watch_memory();
    if (settles_soon_ || account_->excess() == 0) {
        return;
    }
    settles_soon_ = true;
    loop_.defer([this, still = std::weak_ptr<bool>(alive_)] {
        if (!still.expired()) {
            settles_soon_ = false;
            settle();
        }
    });
}

void overload_guard::watch_memory() {
    if (!watching_ && account_->held() > account_->limit() / usual_part) {
        watching_ = true;
        looking_ = timers_.every(give_back_period,
                                 [this](time_point) { look_at_memory(); });
    }
}

// What a crowd held lies scattered between what stays; unless it is given back,
// the next crowd's memory comes on top of it.
void overload_guard::look_at_memory() {
    malloc_trim(0);
    if (account_->held() <= account_->limit() / usual_part) {
        watching_ = false;
        looking_.cancel();
    }
}

} // namespace waxwingvale::forwarding
