#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// How long word of the platform may be old, and how readers take turns.
struct reader_timing {
    // Word older than this makes an instance read for itself. A drain that the
    // platform has accepted must be obeyed everywhere after 2 s; this leaves
    // the rest for reading and passing on.
    duration stale_after = std::chrono::milliseconds(900);
    // Each place further down the order waits so much longer, so that a reader
    // that was lost is followed by one and not by all,
    duration step = std::chrono::milliseconds(40);
    // but no longer than this.
    duration step_limit = std::chrono::milliseconds(400);
    // Whoever took over goes on this long after it hears again of one that
    // comes before it.
    duration relief = std::chrono::seconds(3);
    // One that has just started hears within this what its peers have read, and
    // who they are: until then each would be the first of all it knows.
    duration introduction = std::chrono::milliseconds(500);
};

// Decides whether this instance is to read the platform for all. Every read is
// paid for, also by the platform itself, so few do; the others hear of what
// they read from their peers. Pure.
class reader_duty {
public:
    // Without peers to expect an instance reads at once.
    reader_duty(std::string self, unsigned readers, bool expects_peers,
                reader_timing timing, time_point now);

    void take_members(const std::vector<member>& members);
    // Somebody, or this instance, knew the platform's state of so long ago.
    // Returns whether that is newer than all word before.
    bool hear(const std::string& reader, duration age, time_point now);

    bool should_read(time_point now);
    // What should_read() said last.
    bool reads() const { return reads_; }

    // Who reads while all is well; empty when each reads for itself.
    std::vector<std::string> readers() const;
    // How many come before this instance in the order of readers.
    std::size_t place() const { return place_; }
    // How old the newest word is.
    duration age(time_point now) const { return now - verified_; }
    const std::string& newest_reader() const { return newest_reader_; }

private:
    bool decide(time_point now);
    bool is_reader(const std::string& name) const;
    bool comes_before_self(const std::string& name) const;

    std::string self_;
    unsigned readers_;
    reader_timing timing_;
    std::vector<std::string> order_; // of all that may read
    std::size_t place_ = 0;          // of this instance in it
    time_point introduced_at_;       // at the latest
    time_point verified_;
    std::string newest_reader_;
    bool reads_;
    std::optional<time_point> took_over_;
    time_point relieved_{}; // heard of one that comes earlier
    time_point read_at_{};  // by this instance
};

// The order in which instances become readers: strong machines first, from one
// data centre after another, then by a hash, so that all agree on it.
std::vector<std::string> reader_order(const std::vector<member>& members);

} // namespace waxwingvale::membership
