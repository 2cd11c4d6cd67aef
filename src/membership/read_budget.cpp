#include <waxwingvale/membership/read_budget.hpp>

#include <algorithm>
#include <cmath>

namespace waxwingvale::membership {

namespace {

constexpr double used_fraction = 0.5;
// A watch that is answered at once by every change is asked again four times a
// second at most: what changes in between comes with one answer, and a drain
// is still known far within its bound. The burst is for the pages of a list.
constexpr read_share largest_share{4., 12.};
// Of the first in the order, and of those after them.
constexpr duration backoff_limit = std::chrono::milliseconds(2400);
constexpr duration later_backoff_limit = std::chrono::seconds(5);
constexpr std::size_t first_places = 16;
// So many places down the order the first backoff grows by as much again.
constexpr std::size_t places_per_backoff = 4;

} // namespace

read_share share_of(double reads_per_second, std::size_t readers,
                    std::size_t place) {
    const auto count = static_cast<double>(std::max<std::size_t>(readers, 1));
    const double each = reads_per_second * used_fraction / count;
    // Half for the burst, half for the reads of the second itself. A burst
    // below one token would never let a read through.
    const auto steps = static_cast<duration::rep>(place / places_per_backoff);
    const auto limit =
        place < first_places ? backoff_limit : later_backoff_limit;
    return {std::min(each / 2, largest_share.per_second),
            std::clamp(each / 2, 1., largest_share.burst),
            std::min(largest_share.first_backoff * (1 + steps), limit), limit};
}

read_budget::read_budget(read_share share, std::uint64_t seed, time_point now)
    : share_(share),
      random_(seed),
      tokens_(share.burst),
      refilled_(now),
      not_before_(now) {}

void read_budget::set_share(read_share share, time_point now) {
    refill(now);
    share_ = share;
    tokens_ = std::min(tokens_, share_.burst);
}

void read_budget::refill(time_point now) {
    const double passed =
        std::chrono::duration<double>(now - refilled_).count();
    tokens_ = std::min(share_.burst, tokens_ + passed * share_.per_second);
    refilled_ = now;
}

duration read_budget::wait_before_read(time_point now) {
    refill(now);
    const double missing = std::max(0., 1. - tokens_);
    const auto for_token = duration(static_cast<duration::rep>(
        std::ceil(missing / share_.per_second * duration::period::den)));
    const auto for_backoff = std::max(not_before_ - now, duration::zero());
    return std::max(for_token, for_backoff);
}

void read_budget::take(time_point now) {
    refill(now);
    tokens_ = std::max(0., tokens_ - 1.);
}

void read_budget::succeeded() {
    failures_ = 0;
}

void read_budget::failed(time_point now) {
    const auto doublings = std::min(failures_, 16U);
    const auto longest =
        std::min(share_.first_backoff * (std::int64_t{1} << doublings),
                 share_.longest_backoff);
    ++failures_;
    std::uniform_int_distribution<duration::rep> jitter(longest.count() / 2,
                                                        longest.count());
    not_before_ = now + duration(jitter(random_));
}

} // namespace waxwingvale::membership
