#include <waxwingvale/membership/reader_duty.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

constexpr std::uint64_t order_seed = 0x72656164;

struct candidate {
    unsigned round; // how many of its data centre come before it
    unsigned cpu_permille;
    std::uint64_t hash;
    const member* of;

    bool operator<(const candidate& other) const {
        return std::make_tuple(round, other.cpu_permille, hash, of->id.name) <
               std::make_tuple(other.round, cpu_permille, other.hash,
                               other.of->id.name);
    }
};

} // namespace

std::vector<std::string> reader_order(const std::vector<member>& members) {
    std::map<std::string, std::vector<candidate>> by_centre;
    for (const auto& each : members) {
        if (each.state == member_state::alive) {
            by_centre[each.data_centre].push_back(
                {0, each.capacity.cpu_permille,
                 decision::stable_hash(each.id.name, order_seed), &each});
        }
    }
    std::vector<candidate> all;
    for (auto& centre : by_centre) {
        std::sort(centre.second.begin(), centre.second.end());
        unsigned round = 0;
        for (auto& each : centre.second) {
            each.round = round++;
            all.push_back(each);
        }
    }
    std::sort(all.begin(), all.end());
    std::vector<std::string> order;
    order.reserve(all.size());
    for (const auto& each : all) {
        order.push_back(each.of->id.name);
    }
    return order;
}

reader_duty::reader_duty(std::string self, unsigned readers, bool expects_peers,
                         reader_timing timing, time_point now)
    : self_(std::move(self)),
      readers_(readers),
      timing_(timing),
      introduced_at_(expects_peers ? now + timing.introduction : now),
      // Where there are peers their reader has as long to be heard of as one
      // that falls silent later.
      verified_(expects_peers ? now
                              : now - timing.stale_after - timing.step_limit),
      reads_(readers == 0) {}

void reader_duty::take_members(const std::vector<member>& members) {
    order_ = reader_order(members);
    const auto mine = std::find(order_.begin(), order_.end(), self_);
    place_ = static_cast<std::size_t>(std::distance(order_.begin(), mine));
}

std::vector<std::string> reader_duty::readers() const {
    const auto end = std::min<std::size_t>(readers_, order_.size());
    return {order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(end)};
}

bool reader_duty::is_reader(const std::string& name) const {
    const auto end = std::min<std::size_t>(readers_, order_.size());
    const auto last = order_.begin() + static_cast<std::ptrdiff_t>(end);
    return std::find(order_.begin(), last, name) != last;
}

// Whoever comes earlier reads for those after it, also while the first is
// turned away by the platform.
bool reader_duty::comes_before_self(const std::string& name) const {
    const auto end = order_.begin() + static_cast<std::ptrdiff_t>(place_);
    return std::find(order_.begin(), end, name) != end;
}

bool reader_duty::hear(const std::string& reader, duration age,
                       time_point now) {
    if (readers_ == 0) {
        return false;
    }
    const auto verified = now - age;
    if (reader == self_) {
        read_at_ = now;
    } else if (comes_before_self(reader) && age < timing_.stale_after) {
        relieved_ = now;
    }
    if (verified <= verified_) {
        return false;
    }
    verified_ = verified;
    newest_reader_ = reader;
    return true;
}

bool reader_duty::should_read(time_point now) {
    reads_ = decide(now);
    return reads_;
}

bool reader_duty::decide(time_point now) {
    if (readers_ > 0 && now < introduced_at_) {
        return false;
    }
    if (readers_ == 0 || is_reader(self_)) {
        took_over_.reset();
        return true;
    }
    const auto places = static_cast<duration::rep>(place_);
    const auto patience = timing_.stale_after +
                          std::min(timing_.step * places, timing_.step_limit);
    if (age(now) > patience) {
        took_over_ = took_over_ ? took_over_ : now;
    }
    if (!took_over_) {
        return false;
    }
    // Who has read nothing yet is needed by nobody.
    const bool has_read = read_at_ > *took_over_;
    const bool served_its_time =
        !has_read || relieved_ - *took_over_ >= timing_.relief;
    const bool is_relieved = relieved_ > *took_over_ &&
                             now - relieved_ < timing_.stale_after &&
                             served_its_time;
    if (is_relieved) {
        took_over_.reset();
        return false;
    }
    return true;
}

} // namespace waxwingvale::membership
