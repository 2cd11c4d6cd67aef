#include "decision/named_limit.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvale::decision {

namespace {

// A server that gets no request says nothing, not even that its limit has
// ended. So it gets a request now and then, whatever it names.
constexpr double min_limit = 0.1; // requests per second

// Requests that were not sent for so long may be made up for.
constexpr double burst_seconds = 0.2;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

std::optional<double> named_limit::rate() const {
    return limit_ ? std::optional(std::max(*limit_, min_limit) * share_)
                  : std::nullopt;
}

std::optional<duration> named_limit::age(time_point now) const {
    return limit_ ? std::optional(now - named_at_) : std::nullopt;
}

double named_limit::tokens_at(time_point now) const {
    const double rate_now = rate().value_or(0);
    const double most = std::max(1.0, rate_now * burst_seconds);
    return std::min(most, tokens_ + seconds(now - refilled_at_) * rate_now);
}

void named_limit::refill(time_point now) {
    tokens_ = tokens_at(now);
    refilled_at_ = now;
}

void named_limit::set_share(double share, time_point now) {
    if (share != share_) {
        refill(now);
        share_ = share;
    }
}

void named_limit::record_answer(const backend_terms& terms, time_point sent_at,
                                time_point now) {
    if (terms.requests_per_second) {
        tokens_ = limit_ ? tokens_at(now) : first_credit_;
        refilled_at_ = now;
        limit_ = terms.requests_per_second;
        named_at_ = now;
    } else if (limit_ && sent_at > named_at_) {
        clear();
    }
}

void named_limit::record_probe(const backend_terms& terms, time_point sent_at,
                               time_point now) {
    const bool names = terms.requests_per_second.has_value();
    if (names || named_in_probes_) {
        record_answer(terms, sent_at, now);
    }
    named_in_probes_ = names || (named_in_probes_ && limit_.has_value());
}

void named_limit::record_start(time_point now) {
    if (limit_) {
        refill(now);
        tokens_ -= 1;
    }
}

void named_limit::clear() {
    limit_.reset();
    named_in_probes_ = false;
}

std::optional<unsigned> named_limit::available(time_point now) const {
    if (!limit_) {
        return std::nullopt;
    }
    const double tokens = tokens_at(now);
    return tokens < 1 ? 0 : static_cast<unsigned>(tokens);
}

std::optional<time_point> named_limit::next_available(time_point now) const {
    const double rate_now = rate().value_or(0);
    const double missing = 1 - tokens_at(now);
    if (rate_now <= 0 || missing <= 0) {
        return std::nullopt;
    }
    // Rounded up: at the time returned a whole token is there.
    constexpr double microseconds = 1e6;
    return now + duration(static_cast<duration::rep>(
                              std::ceil(missing / rate_now * microseconds)) +
                          1);
}

} // namespace waxwingvale::decision
