#include "decision/send_limits.hpp"

namespace waxwingvale::decision {

void send_limits::record_answer(const backend_terms& terms, time_point sent_at,
                                time_point now) {
    named_.record_answer(terms, sent_at, now);
    leaving_ = leaving_ || terms.leaving;
}

void send_limits::record_probe_answer(const backend_terms& terms,
                                      time_point sent_at, time_point now) {
    named_.record_probe(terms, sent_at, now);
    leaving_ = leaving_ || terms.leaving;
}

void send_limits::pause(time_point now, const scheduling_policy& policy) {
    pause_ =
        std::clamp(pause_ * 2, policy.shed_pause_min, policy.shed_pause_max);
    paused_until_ = now + pause_;
}

unsigned send_limits::available(unsigned wanted, time_point now) const {
    if (unavailable() || now < paused_until_) {
        return 0;
    }
    const unsigned by_cold = cold_.available(now).value_or(wanted);
    const unsigned by_name = named_.available(now).value_or(wanted);
    return std::min({wanted, by_cold, by_name});
}

bool send_limits::may_probe(time_point now,
                            const scheduling_policy& policy) const {
    if (rests(now)) {
        return false;
    }
    const auto age = named_.age(now);
    return !age || (*age >= policy.limited_probe_after &&
                    named_.available(now).value_or(1) > 0);
}

std::optional<time_point> send_limits::next_change(time_point now) const {
    std::optional<time_point> next;
    const auto consider = [&](std::optional<time_point> when) {
        if (when && *when > now && (!next || *when < *next)) {
            next = when;
        }
    };
    consider(paused_until_);
    consider(rests_until_);
    consider(cold_.next_available(now));
    consider(named_.next_available(now));
    return next;
}

void send_limits::record_start(time_point now) {
    cold_.record_start(now);
    named_.record_start(now);
}

void send_limits::clear_answers() {
    pause_ = duration::zero();
    paused_until_ = time_point{};
    rests_until_ = time_point{};
    named_.clear();
    leaving_ = false;
}

} // namespace waxwingvale::decision
