#include <waxwingvale/decision/repeat_budget.hpp>

#include <algorithm>
#include <numeric>

namespace waxwingvale::decision {

namespace {

// The window slides in steps of one section.
constexpr int sections_per_window = 20;

// The part of a budget that an instance gives to a peer at most, so that the
// one that asks first does not leave the others without.
constexpr double most_given = 0.5;

} // namespace

duration repeat_budget::section_length() const {
    return std::max(limits_.window / sections_per_window, duration(1));
}

repeat_budget::window_section& repeat_budget::section_at(time_point when) {
    const auto since_start = when.time_since_epoch() % section_length();
    return sections_[when - since_start];
}

// What peers were given counts until it may no longer be used, so that sections
// may lie in the future.
void repeat_budget::drop_old(time_point now) {
    const time_point oldest = now - limits_.window - section_length();
    sections_.erase(sections_.begin(), sections_.upper_bound(oldest));
    credits_.erase(std::remove_if(credits_.begin(), credits_.end(),
                                  [now](const credit& each) {
                                      return each.usable_until <= now;
                                  }),
                   credits_.end());
}

// Only sections that lie within the window as a whole.
double repeat_budget::requests(time_point now) const {
    double sum = 0;
    for (auto at = sections_.lower_bound(now - limits_.window);
         at != sections_.end(); ++at) {
        sum += at->second.requests;
    }
    return sum;
}

// Sections that lie within the window in part count, too.
double repeat_budget::repeats(time_point now) const {
    double sum = 0;
    const time_point oldest = now - limits_.window - section_length();
    for (auto at = sections_.upper_bound(oldest); at != sections_.end(); ++at) {
        sum += at->second.repeats;
    }
    return sum;
}

double repeat_budget::limit(time_point now) const {
    const held_window past(began_, limits_.window + credit_lifetime);
    const double own_extra =
        past.is_known(now) ? limits_.extra / limits_.instances : 0;
    return limits_.fraction * requests(now) + own_extra;
}

double repeat_budget::left(time_point now) const {
    return std::max(limit(now) - repeats(now), 0.0);
}

// Those that are still usable when an attempt is sent at the latest.
double repeat_budget::credits_until(time_point latest_send) const {
    return std::accumulate(
        credits_.begin(), credits_.end(), 0.0,
        [latest_send](double sum, const credit& each) {
            return sum + (each.usable_until >= latest_send ? each.amount : 0);
        });
}

void repeat_budget::use_credits(double amount, time_point latest_send) {
    for (credit& each : credits_) {
        if (each.usable_until >= latest_send) {
            const double used = std::min(each.amount, amount);
            each.amount -= used;
            amount -= used;
        }
    }
}

void repeat_budget::on_request(time_point now) {
    drop_old(now);
    section_at(now).requests += 1;
}

// What peers gave is used first, since it is lost soon; they count it.
std::optional<repeat_charge> repeat_budget::try_spend(time_point now,
                                                      time_point latest_send) {
    drop_old(now);
    const double given = std::min(credits_until(latest_send), 1.0);
    if (left(now) + given < 1) {
        return std::nullopt;
    }
    use_credits(given, latest_send);
    section_at(latest_send).repeats += 1 - given;
    return repeat_charge{1 - given, latest_send};
}

void repeat_budget::on_sent(const repeat_charge& charged, time_point now) {
    section_at(charged.counted_at).repeats -= charged.amount;
    section_at(now).repeats += charged.amount;
}

double repeat_budget::give(double wanted, time_point now) {
    drop_old(now);
    const double given =
        std::clamp(wanted, 0.0, std::max(left(now) * most_given, 0.0));
    section_at(now + credit_lifetime).repeats += given;
    return given;
}

void repeat_budget::receive(double amount, time_point usable_until) {
    if (amount > 0) {
        credits_.push_back({amount, usable_until});
    }
}

} // namespace waxwingvale::decision
