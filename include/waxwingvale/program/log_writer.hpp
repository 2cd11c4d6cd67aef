#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::program {

// How much a process may log.
struct log_limits {
    // Bytes a second over a while, and at once. 32 KiB are some 150 lines: the
    // stories of thirty requests that failed, enough to see what goes wrong.
    std::size_t rate = 32UL * 1024;
    std::size_t burst = 256UL * 1024;
    // Kept free of the burst for lines that matter more than details.
    std::size_t reserve = 64UL * 1024;
    // Of these, what the changes of one event may use: a message that comes
    // again and again leaves room for all others.
    std::size_t event_rate = 16UL * 1024;
    std::size_t event_burst = 128UL * 1024;
    // Written lines that a slow reader has not taken yet.
    std::size_t waiting = 256UL * 1024;
};

// What a line is worth when there is room for few.
enum class log_weight { detail, change };

// Bytes that may be used by now, some at once and some a second.
class byte_allowance {
public:
    byte_allowance(std::size_t rate, std::size_t burst)
        : rate_(rate), burst_(burst) {}

    // How many there are.
    double left(time_point now);
    void use(std::size_t bytes) { left_ -= static_cast<double>(bytes); }

private:
    std::size_t rate_;
    std::size_t burst_;
    bool started_ = false;
    double left_ = 0;
    time_point refilled_{};
};

// Takes lines for a file descriptor and never waits for its reader: a process
// that stopped on a full pipe would stop serving because of its log. What does
// not fit is dropped, counted, and told in a line once there is room.
class log_writer {
public:
    log_writer(int file, log_limits limits)
        : file_(file), limits_(limits), allowance_(limits.rate, limits.burst) {}

    // Whether that many bytes would be taken now.
    bool has_room(std::size_t bytes, log_weight weight, time_point now);
    // Takes one line or several, each with its end; all of it or nothing.
    // Changes of a named event are also bounded by themselves.
    void add(std::string_view lines, log_weight weight, time_point now,
             std::string_view event = {});
    // Hands on what the reader takes at once.
    void flush();

    std::uint64_t dropped_lines() const { return dropped_; }
    std::size_t waiting() const { return waiting_.size(); }

private:
    // Null when it has none of its own.
    byte_allowance* share_of(std::string_view event, log_weight weight);
    bool reader_takes() const;
    void tell_dropped(time_point now);

    int file_;
    log_limits limits_;
    std::string waiting_;
    byte_allowance allowance_;
    std::map<std::string, byte_allowance, std::less<>> shares_; // of events
    std::uint64_t dropped_ = 0;
    std::uint64_t told_ = 0;
    time_point told_at_{};
};

} // namespace waxwingvale::program
