#pragma once

#include <cstddef>
#include <cstdint>
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
    // Written lines that a slow reader has not taken yet.
    std::size_t waiting = 256UL * 1024;
};

// What a line is worth when there is room for few.
enum class log_weight { detail, change };

// Takes lines for a file descriptor and never waits for its reader: a process
// that stopped on a full pipe would stop serving because of its log. What does
// not fit is dropped, counted, and told in a line once there is room.
class log_writer {
public:
    log_writer(int file, log_limits limits) : file_(file), limits_(limits) {}

    // Whether that many bytes would be taken now.
    bool has_room(std::size_t bytes, log_weight weight, time_point now);
    // Takes one line or several, each with its end; all of it or nothing.
    void add(std::string_view lines, log_weight weight, time_point now);
    // Hands on what the reader takes at once.
    void flush();

    std::uint64_t dropped_lines() const { return dropped_; }
    std::size_t waiting() const { return waiting_.size(); }

private:
    void refill(time_point now);
    bool reader_takes() const;
    void tell_dropped(time_point now);

    int file_;
    log_limits limits_;
    std::string waiting_;
    double allowance_ = 0;
    bool started_ = false;
    time_point refilled_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t told_ = 0;
    time_point told_at_{};
};

} // namespace waxwingvale::program
