#include <waxwingvale/decision/hedge_policy.hpp>

#include <algorithm>

namespace waxwingvale::decision {

hedge_policy::hedge_policy(const hedge_limits& limits)
    : limits_(limits), budget_(limits.fraction, limits.burst) {}

duration hedge_policy::delay() const {
    return std::max(
        limits_.min_delay,
        latencies_.at_quantile(limits_.quantile, limits_.default_delay));
}

// How soon to check again for a spare slot. Slots of a service become free many
// times within one hedge delay: when the check was repeated only after a full
// delay, most slow reads were never hedged.
duration hedge_policy::recheck_interval() const {
    constexpr int checks_per_delay = 16;
    return std::max(limits_.min_delay, delay() / checks_per_delay);
}

hedge_decision hedge_policy::on_slow(const hedge_candidate& candidate,
                                     time_point now) {
    // If every level of a nested call hedged, ten levels would double the
    // requests ten times over.
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
    // A hedge must not take a slot that a queued first attempt needs.
    if (candidate.free_slots <= candidate.waiting || !budget_.try_spend()) {
        return hedge_later{now + recheck_interval()};
    }
    return hedge_now{};
}

} // namespace waxwingvale::decision
