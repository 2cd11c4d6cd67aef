#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <tuple>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// One reader's share of the reads that the platform answers: the parameters of
// a token bucket, and the backoff after failed reads.
struct read_share {
    double per_second = 4;
    double burst = 12;
    // The longest pause after a first failure. It doubles with every further
    // failure in a row, up to max_backoff.
    duration initial_backoff = std::chrono::milliseconds(200);
    duration max_backoff = std::chrono::milliseconds(2400);
    // While there is much to read: the pages of a long list, or changes that
    // take a long answer.
    double hurried_per_second = 4;

    friend bool operator==(const read_share& a, const read_share& b) {
        return std::tie(a.per_second, a.burst, a.initial_backoff, a.max_backoff,
                        a.hurried_per_second) ==
               std::tie(b.per_second, b.burst, b.initial_backoff, b.max_backoff,
                        b.hurried_per_second);
    }
};

// Returns the share of one of `readers` readers of a platform that answers
// `reads_per_second`. `rank` is the reader's position in the order of readers,
// from 0.
//
// When the platform becomes available to all readers at once, all of them may
// spend their whole burst and one second's reads in the same second; the shares
// keep the sum below half of what the platform answers.
//
// Readers of higher rank wait longer between retries. While the platform
// answers no one, all instances try to read it, and every read is paid for; the
// first instance that gets an answer informs the others. With this rule and
// with one topic read at a time, 123 instances made 1,452 reads on a day with
// 8 s of outage, instead of 1,889. The readers of lowest rank pause so briefly
// that they notice the platform's return within 3 s, including the timeout of a
// read that was never answered, however few readers there are.
read_share read_share_for(double reads_per_second, std::size_t readers,
                          std::size_t rank = 0);

// Decides when this instance may read the platform. A token bucket ensures that
// no fault of this instance makes it read more often than its share allows. A
// jittered backoff ensures that readers whose reads failed at the same time do
// not all retry at the same time. The jitter is derived from the seed.
class read_budget {
public:
    read_budget(read_share share, std::uint64_t seed, time_point now);

    void set_share(read_share share, time_point now);
    // Whether there is much to read, from now on.
    void set_hurried(bool hurried, time_point now);

    // The minimum time to wait before the next read; zero if it may start now.
    duration wait_before_read(time_point now);
    // Consumes a token. Called when a read is started.
    void consume_token(time_point now);

    void succeeded();
    void failed(time_point now);
    unsigned consecutive_failures() const { return failures_; }

private:
    void refill(time_point now);
    double per_second() const;

    read_share share_;
    std::mt19937_64 random_;
    bool hurried_ = false;
    double tokens_;
    time_point last_refill_;
    time_point backoff_until_;
    unsigned failures_ = 0;
};

} // namespace waxwingvale::membership
