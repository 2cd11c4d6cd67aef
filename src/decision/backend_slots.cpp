#include "decision/backend_slots.hpp"

#include <algorithm>

namespace waxwingvale::decision {

void backend_slots::configure(const backend_server& server) {
    data_centre_ = server.data_centre;
    limits_.cold().set_registered_cold_until(server.cold_until);
    set_incarnation(server.incarnation);
    if (configured_ == server.slots) {
        return;
    }
    configured_ = server.slots;
    usable_ = server.slots;
}

void backend_slots::set_incarnation(backend_incarnation incarnation) {
    if (incarnation <= incarnation_) {
        return;
    }
    const bool restarted = incarnation_ != 0;
    incarnation_ = incarnation;
    if (restarted) {
        // Observations of the previous process do not apply to the new one,
        // whose caches are cold.
        health_ = backend_health();
        limits_.clear_answers();
        started_.clear();
        isolated_ = false;
        answers_since_change_ = 0;
        growth_rounds_ = 1;
        last_load_.reset();
        unresponsive_ = false;
        limit_to_one_slot();
    }
}

unsigned backend_slots::limit() const {
    return limits_.unavailable() ? 0 : std::min(usable_, allowance_);
}

unsigned backend_slots::free_slots(time_point now) const {
    const unsigned most = limit();
    if (isolated_ || in_flight() >= most) {
        return 0;
    }
    return limits_.available(most - in_flight(), now);
}

double backend_slots::usable_slots(double slots, duration service_time) const {
    const auto rate = limits_.named().rate();
    const double seconds = std::chrono::duration<double>(service_time).count();
    return rate ? std::min(slots, *rate * seconds) : slots;
}

void backend_slots::start(attempt_ref attempt, time_point now, bool isolated) {
    running_attempt started;
    started.ref = attempt;
    started.at = now;
    started.running = in_flight() + 1;
    if (last_load_) {
        started.slowness = last_load_->load.slowness;
        started.report_age = now - last_load_->at;
    }
    started_.push_back(started);
    limits_.record_start(now);
    isolated_ = isolated_ || isolated;
}

std::optional<running_attempt>
backend_slots::finish(attempt_ref attempt, const grant_use& use, time_point now,
                      const scheduling_policy& policy) {
    std::optional<running_attempt> ended;
    const auto found = std::find_if(
        started_.begin(), started_.end(),
        [&](const running_attempt& each) { return each.ref == attempt; });
    if (found != started_.end()) {
        ended = *found;
        *found = started_.back();
        started_.pop_back();
    }
    if (started_.empty()) {
        isolated_ = false;
    }
    if (attempt != 0 && !ended) {
        return ended;
    }
    if (use.verdict == attempt_verdict::answered) {
        grow();
    } else if (use.verdict == attempt_verdict::shed) {
        // A refusal by a server that reports free slots is no sign of fewer
        // slots. Shrinking on it left 15 servers that refused half of all
        // requests at random with one slot of six each, and most callers were
        // refused until ten seconds after the fault had ended.
        // Neither is one by a server that asks for rest.
        const bool has_free_slots = use.load && !use.load->full();
        const bool asks_for_rest = use.terms && use.terms->rest;
        if (!has_free_slots && !asks_for_rest) {
            shrink(policy);
        }
        limits_.pause(now, policy);
    }
    return ended;
}

void backend_slots::grow() {
    limits_.end_pause();
    if (++answers_since_change_ < usable_ * growth_rounds_) {
        return;
    }
    answers_since_change_ = 0;
    if (usable_ < configured_) {
        ++usable_;
    } else {
        growth_rounds_ = std::max(growth_rounds_ / 2, 1U);
    }
}

void backend_slots::shrink(const scheduling_policy& policy) {
    // The server was full although this instance counted free slots: others use
    // them, or the server has fewer slots than configured.
    const auto kept = static_cast<unsigned>(usable_ * policy.shed_decrease);
    usable_ = std::max(kept, 1U);
    answers_since_change_ = 0;
    growth_rounds_ =
        std::min(growth_rounds_ * 2, policy.slot_growth_rounds_max);
}

} // namespace waxwingvale::decision
