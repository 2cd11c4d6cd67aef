#include <waxwingvale/decision/hedge_policy.hpp>

#include <algorithm>

namespace waxwingvale::decision {

hedge_policy::hedge_policy(const hedge_limits& limits)
    : limits_(limits), budget_(limits.fraction, limits.burst) {}

duration hedge_policy::delay() const {
    return std::max(
        limits_.shortest,
        latencies_.at_quantile(limits_.quantile, limits_.unknown_delay));
}

// While no slot is spare. Slots of a service change hands many times within
// one delay; asked again only after a whole one, most slow reads never got
// their second copy. The figures are in the commit that brought this.
duration hedge_policy::retry_delay() const {
    constexpr int retries_in_delay = 16;
    return std::max(limits_.shortest, delay() / retries_in_delay);
}

hedge_decision hedge_policy::on_slow(const hedge_candidate& candidate,
                                     time_point now) {
    // A nested call that hedged at every level would double ten times over.
    if (candidate.nature != request_nature::retriable || candidate.nested ||
        candidate.hedged || now >= candidate.deadline) {
        return no_hedge{};
    }
    const auto due = candidate.sent + (candidate.slow_after > duration::zero()
                                           ? candidate.slow_after
                                           : delay());
    if (now < due) {
        return due < candidate.deadline ? hedge_decision(hedge_later{due})
                                        : no_hedge{};
    }
    // A second copy must not take the slot that a waiting first copy needs.
    if (candidate.free_slots <= candidate.waiting || !budget_.try_spend()) {
        return hedge_later{now + retry_delay()};
    }
    return hedge_now{};
}

} // namespace waxwingvale::decision
