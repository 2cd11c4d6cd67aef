#include <waxwingvale/decision/repeat_budget.hpp>

#include <algorithm>
#include <numeric>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// Parts of the extra repeats that all buckets together hold, and that they gain
// in a window. The rest is left for repeats that wait for a slot after they
// were paid for.
constexpr double held_share = 0.75;
constexpr double gained_share = 0.125;

// How much a bucket holds of what the requests of a window allow, as a part of
// what it gains by them.
constexpr double carried_share = 0.25;

// The window slides in steps of one section.
constexpr int sections_per_window = 20;

// The part of a bucket that an instance gives to a peer at most, so that the
// one that asks first does not leave the others without.
constexpr double most_given = 0.5;

} // namespace

double part_of_extra(double extra, std::size_t instances,
                     const std::string& instance, const std::string& service) {
    const double part = extra / static_cast<double>(instances);
    const double whole = 1 / held_share;
    if (part >= whole) {
        return part;
    }
    const double drawn = unit_interval(
        combine_hashes(stable_hash(instance), stable_hash(service)));
    return drawn < part / whole ? whole : 0;
}

double repeat_budget::gain_of_request() const {
    return limits_.fraction / (1 + carried_share);
}

// Only sections that lie within the window as a whole.
double repeat_budget::requests(time_point now) const {
    return std::accumulate(
        requests_.lower_bound(now - limits_.window), requests_.end(), 0.0,
        [](double sum, const auto& each) { return sum + each.second; });
}

double repeat_budget::capacity(time_point now) const {
    return held_share * limits_.extra +
           carried_share * gain_of_request() * requests(now);
}

double repeat_budget::tokens(time_point now) const {
    if (limits_.window <= duration::zero()) {
        return 0; // no limits are known yet
    }
    if (held_window(last_spent_, limits_.window).is_known(now)) {
        return capacity(now);
    }
    const double windows = static_cast<double>((now - refilled_at_).count()) /
                           static_cast<double>(limits_.window.count());
    const double gained = gained_share * limits_.extra * windows;
    return std::min(tokens_ + gained, capacity(now));
}

void repeat_budget::refill(time_point now) {
    tokens_ = tokens(now);
    refilled_at_ = now;
}

void repeat_budget::change_limits(const repeat_limits& limits, time_point now) {
    refill(now);
    limits_ = limits;
    tokens_ = std::min(tokens_, capacity(now));
}

void repeat_budget::hold_since(time_point began) {
    refilled_at_ = began;
    last_spent_ = began;
}

void repeat_budget::on_request(time_point now) {
    refill(now);
    const duration length =
        std::max(limits_.window / sections_per_window, duration(1));
    requests_[now - now.time_since_epoch() % length] += 1;
    requests_.erase(requests_.begin(),
                    requests_.lower_bound(now - limits_.window));
    tokens_ = std::min(tokens_ + gain_of_request(), capacity(now));
}

void repeat_budget::take(double amount, time_point now) {
    refill(now);
    tokens_ -= amount;
    last_spent_ = now;
}

double repeat_budget::take_credits(double most, time_point now) {
    double taken = 0;
    for (credit& each : credits_) {
        if (each.usable_until > now) {
            const double used = std::min(each.amount, most - taken);
            each.amount -= used;
            taken += used;
        }
    }
    return taken;
}

// What peers gave is used first, since it is lost soon.
bool repeat_budget::try_spend(time_point now) {
    const double given = std::accumulate(
        credits_.begin(), credits_.end(), 0.0,
        [now](double sum, const credit& each) {
            return sum + (each.usable_until > now ? each.amount : 0);
        });
    if (given + tokens(now) < 1) {
        return false;
    }
    const double taken = take_credits(1, now);
    if (taken < 1) {
        take(1 - taken, now);
    }
    return true;
}

double repeat_budget::give(double wanted, time_point now) {
    const double given = std::clamp(wanted, 0.0, most_given * tokens(now));
    if (given > 0) {
        take(given, now);
    }
    return given;
}

void repeat_budget::receive(double amount, time_point usable_until) {
    credits_.erase(
        std::remove_if(credits_.begin(), credits_.end(),
                       [](const credit& each) { return each.amount <= 0; }),
        credits_.end());
    if (amount > 0) {
        credits_.push_back({amount, usable_until});
    }
}

} // namespace waxwingvale::decision
