#include <waxwingvale/membership/read_budget.hpp>

#include <algorithm>
#include <cmath>

namespace waxwingvale::membership {

namespace {

// The part of the platform's read rate that all readers together may use.
constexpr double used_fraction = 0.5;
// While changes answer every watch at once, a reader starts at most four
// watches a second: all changes in between come with one answer, and a drain
// still becomes known well within its limit of 2 s. The burst allows reading
// the pages of a list without a pause.
constexpr read_share max_share{4., 12.};
// The longest backoff of the readers with a rank below low_rank_count, and of
// the others.
constexpr duration low_rank_max_backoff = std::chrono::milliseconds(2400);
constexpr duration high_rank_max_backoff = std::chrono::seconds(5);
constexpr std::size_t low_rank_count = 16;
// The initial backoff grows by its base value once per this many ranks.
constexpr std::size_t ranks_per_backoff_step = 4;

} // namespace

read_share read_share_for(double reads_per_second, std::size_t readers,
                          std::size_t rank) {
    const auto count = static_cast<double>(std::max<std::size_t>(readers, 1));
    const double each = reads_per_second * used_fraction / count;
    // Half of the share is for the burst, half for the reads of one second. A
    // burst of less than one token would never allow a read.
    const auto steps =
        static_cast<duration::rep>(rank / ranks_per_backoff_step);
    const auto limit =
        rank < low_rank_count ? low_rank_max_backoff : high_rank_max_backoff;
    const double per_second = std::min(each / 2, max_share.per_second);
    const double burst = std::clamp(each / 2, 1., max_share.burst);
    return {per_second, burst,
            std::min(max_share.initial_backoff * (1 + steps), limit), limit,
            std::max(per_second, each - burst)};
}

read_budget::read_budget(read_share share, std::uint64_t seed, time_point now)
    : share_(share),
      random_(seed),
      tokens_(share.burst),
      last_refill_(now),
      backoff_until_(now) {}

void read_budget::set_share(read_share share, time_point now) {
    refill(now);
    share_ = share;
    tokens_ = std::min(tokens_, share_.burst);
}

void read_budget::set_hurried(bool hurried, time_point now) {
    refill(now);
    hurried_ = hurried;
}

double read_budget::per_second() const {
    return hurried_ ? std::max(share_.hurried_per_second, share_.per_second)
                    : share_.per_second;
}

void read_budget::refill(time_point now) {
    const double passed =
        std::chrono::duration<double>(now - last_refill_).count();
    tokens_ = std::min(share_.burst, tokens_ + passed * per_second());
    last_refill_ = now;
}

duration read_budget::wait_before_read(time_point now) {
    refill(now);
    const double missing = std::max(0., 1. - tokens_);
    const auto for_token = duration(static_cast<duration::rep>(
        std::ceil(missing / per_second() * duration::period::den)));
    const auto for_backoff = std::max(backoff_until_ - now, duration::zero());
    return std::max(for_token, for_backoff);
}

void read_budget::consume_token(time_point now) {
    refill(now);
    tokens_ = std::max(0., tokens_ - 1.);
}

void read_budget::succeeded() {
    failures_ = 0;
}

void read_budget::failed(time_point now) {
    const auto doublings = std::min(failures_, 16U);
    const auto backoff =
        std::min(share_.initial_backoff * (std::int64_t{1} << doublings),
                 share_.max_backoff);
    ++failures_;
    std::uniform_int_distribution<duration::rep> jitter(backoff.count() / 2,
                                                        backoff.count());
    backoff_until_ = now + duration(jitter(random_));
}

} // namespace waxwingvale::membership
