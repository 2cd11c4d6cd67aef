#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <tuple>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// One reader's share of the platform's reads: a bucket of tokens.
struct read_share {
    double per_second = 4;
    double burst = 12;
    // How long nothing is read after a first failure, at most; it doubles with
    // every further one.
    duration first_backoff = std::chrono::milliseconds(200);
    duration longest_backoff = std::chrono::milliseconds(2400);

    friend bool operator==(const read_share& a, const read_share& b) {
        return std::tie(a.per_second, a.burst, a.first_backoff,
                        a.longest_backoff) == std::tie(b.per_second, b.burst,
                                                       b.first_backoff,
                                                       b.longest_backoff);
    }
};

// The share of each of that many readers. All of them may spend their whole
// burst and one second's reads in the same second, as when the platform comes
// back for everybody at once, and still stay under half of what it answers.
// Those further down the order of readers try again more seldom: all of them
// try when the platform answers nobody, every read is paid for, and whoever
// finds it back tells the others. With this and with one topic read at a time,
// 123 instances made 1,452 reads on a day with 8 s of silence, else 1,889.
// The first of the order pause so briefly that they find it back within 3 s,
// an answer that never came included, however few they are.
read_share share_of(double reads_per_second, std::size_t readers,
                    std::size_t place = 0);

// Decides when the platform may be read: by tokens, so that whatever goes
// wrong here the platform is not read more often than the share; and by a
// jittered backoff, so that readers who lost it together do not return
// together. Randomness comes from the seed.
class read_budget {
public:
    read_budget(read_share share, std::uint64_t seed, time_point now);

    void set_share(read_share share, time_point now);

    // How long to wait before the next read, at least; zero: now.
    duration wait_before_read(time_point now);
    // A read has been started.
    void take(time_point now);

    void succeeded();
    void failed(time_point now);
    unsigned failures_in_row() const { return failures_; }

private:
    void refill(time_point now);

    read_share share_;
    std::mt19937_64 random_;
    double tokens_;
    time_point refilled_;
    time_point not_before_;
    unsigned failures_ = 0;
};

} // namespace waxwingvale::membership
