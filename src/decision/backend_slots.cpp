#include "decision/backend_slots.hpp"

#include <algorithm>

namespace waxwingvale::decision {

void backend_slots::configure(const backend_server& server) {
    data_centre_ = server.data_centre;
    cold_.set_listed_until(server.cold_until);
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
        // What was seen of the former process says nothing of this one, and
        // its caches are cold.
        health_ = backend_health();
        pause_ = duration::zero();
        paused_until_ = time_point{};
        started_.clear();
        isolated_ = false;
        answers_ = 0;
        caution_ = 1;
        seen_.reset();
        silent_ = false;
        start_cold();
    }
}

unsigned backend_slots::limit() const {
    return vetoed_ ? 0 : std::min(usable_, allowance_);
}

unsigned backend_slots::free(time_point now) const {
    const unsigned most = limit();
    if (isolated_ || now < paused_until_ || in_flight() >= most) {
        return 0;
    }
    const unsigned free = most - in_flight();
    return std::min(free, cold_.room(now).value_or(free));
}

void backend_slots::start(attempt_ref attempt, time_point now, bool isolated) {
    attempt_start begun;
    begun.ref = attempt;
    begun.at = now;
    begun.running = in_flight() + 1;
    if (seen_) {
        begun.slowness = seen_->load.slowness;
        begun.told_before = now - seen_->at;
    }
    started_.push_back(begun);
    cold_.started(now);
    isolated_ = isolated_ || isolated;
}

std::optional<attempt_start>
backend_slots::finish(attempt_ref attempt, attempt_verdict verdict,
                      const std::optional<backend_load>& load, time_point now,
                      const scheduling_policy& policy) {
    std::optional<attempt_start> ended;
    const auto found = std::find_if(
        started_.begin(), started_.end(),
        [&](const attempt_start& each) { return each.ref == attempt; });
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
    if (verdict == attempt_verdict::answered) {
        grow();
    } else if (verdict == attempt_verdict::shed) {
        // One that refuses at random while it tells of free slots has no fewer
        // of them: shrunk for it, 15 servers that refused half of all requests
        // were left with one slot of six each, and most callers were turned
        // away for ten seconds after it had ended.
        if (!load || load->full()) {
            shrink(policy);
        }
        pause(now, policy);
    }
    return ended;
}

void backend_slots::grow() {
    pause_ = duration::zero();
    if (++answers_ < usable_ * caution_) {
        return;
    }
    answers_ = 0;
    if (usable_ < configured_) {
        ++usable_;
    } else {
        caution_ = std::max(caution_ / 2, 1U);
    }
}

void backend_slots::shrink(const scheduling_policy& policy) {
    // The server had no room although slots were free by our account:
    // somebody else uses them, or it has fewer than the file says.
    const auto kept = static_cast<unsigned>(usable_ * policy.shed_decrease);
    usable_ = std::max(kept, 1U);
    answers_ = 0;
    caution_ = std::min(caution_ * 2, policy.caution_max);
}

// Asked again at once it would probably refuse again, and each refusal costs a
// request a round trip.
void backend_slots::pause(time_point now, const scheduling_policy& policy) {
    pause_ =
        std::clamp(pause_ * 2, policy.shed_pause_min, policy.shed_pause_max);
    paused_until_ = now + pause_;
}

} // namespace waxwingvale::decision
