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
    bool runs_late;
    unsigned round; // number of earlier candidates in the same data centre
    unsigned cpu_permille;
    std::uint64_t hash;
    const member* of;

    bool operator<(const candidate& other) const {
        return std::make_tuple(runs_late, round, other.cpu_permille, hash,
                               of->id.name) <
               std::make_tuple(other.runs_late, other.round, cpu_permille,
                               other.hash, other.of->id.name);
    }
};

} // namespace

std::vector<std::string> reader_order(const std::vector<member>& members) {
    std::map<std::string, std::vector<candidate>> by_centre;
    for (const auto& each : members) {
        if (each.state == member_state::alive) {
            by_centre[each.data_centre].push_back(
                {each.runs_late, 0, each.capacity.cpu_permille,
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
      startup_wait_ends_(expects_peers ? now + timing.startup_wait : now),
      // If there are peers, the first update about their reader may take as
      // long to arrive as this instance waits after a reader fails.
      known_as_of_(expects_peers
                       ? now
                       : now - timing.stale_after - timing.max_rank_delay),
      silent_since_(known_as_of_),
      reads_(readers == 0) {}

void reader_duty::take_members(const std::vector<member>& members) {
    order_ = reader_order(members);
    const auto mine = std::find(order_.begin(), order_.end(), self_);
    rank_ = static_cast<std::size_t>(std::distance(order_.begin(), mine));
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

// Whether the named instance has a lower rank. Such an instance reads on behalf
// of this one, also while the platform refuses the instance of rank 0.
bool reader_duty::precedes_self(const std::string& name) const {
    const auto end = order_.begin() + static_cast<std::ptrdiff_t>(rank_);
    return std::find(order_.begin(), end, name) != end;
}

bool reader_duty::hear(const std::string& reader, duration age,
                       time_point now) {
    const auto known_as_of = now - age;
    word_as_of_ =
        word_as_of_ ? std::max(*word_as_of_, known_as_of) : known_as_of;
    if (readers_ == 0) {
        return false;
    }
    if (reader == self_) {
        own_read_at_ = now;
    } else if (precedes_self(reader) && age < timing_.stale_after) {
        lower_rank_read_at_ = now;
    }
    if (known_as_of <= known_as_of_) {
        return false;
    }
    known_as_of_ = known_as_of;
    silent_since_ = std::max(silent_since_, known_as_of);
    newest_reader_ = reader;
    return true;
}

void reader_duty::forgive_silence(duration stopped, time_point now) {
    silent_since_ = std::min(silent_since_ + stopped, now);
}

bool reader_duty::should_read(time_point now) {
    reads_ = decide(now);
    return reads_;
}

std::optional<duration> reader_duty::word_age(time_point now) const {
    return word_as_of_ ? std::optional(now - *word_as_of_) : std::nullopt;
}

duration reader_duty::takeover_delay() const {
    const auto ranks = static_cast<duration::rep>(rank_);
    return timing_.stale_after +
           std::min(timing_.rank_delay * ranks, timing_.max_rank_delay);
}

bool reader_duty::decide(time_point now) {
    if (readers_ > 0 && now < startup_wait_ends_) {
        return false;
    }
    if (readers_ == 0 || is_reader(self_)) {
        took_over_at_.reset();
        return true;
    }
    const auto delay = takeover_delay();
    const auto silent_for = runs_late_ ? age(now) : now - silent_since_;
    const bool silent =
        silent_for > delay || age(now) > timing_.max_forgiven_age;
    if (silent && age(now) > delay) {
        took_over_at_ = took_over_at_ ? took_over_at_ : now;
    }
    const bool waits_in_vain = behind_for_ && *behind_for_ > delay;
    if (!took_over_at_ || waits_in_vain) {
        return waits_in_vain;
    }
    // If this instance has not read anything since it took over, no peer
    // depends on it and it stops at once.
    const bool has_read = own_read_at_ > *took_over_at_;
    const bool hold_has_ended =
        !has_read ||
        lower_rank_read_at_ - *took_over_at_ >= timing_.takeover_hold;
    const bool may_stop = lower_rank_read_at_ > *took_over_at_ &&
                          now - lower_rank_read_at_ < timing_.stale_after &&
                          hold_has_ended;
    if (may_stop) {
        took_over_at_.reset();
        return false;
    }
    return true;
}

} // namespace waxwingvale::membership
