#include <waxwingvale/program/log_writer.hpp>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace waxwingvale::program {

namespace {

// A pipe that is ready for writing takes so many bytes without waiting.
constexpr std::size_t chunk = PIPE_BUF;
// Dropped lines are told of so often at most, or this would fill the log.
constexpr duration telling_period = std::chrono::seconds(1);

} // namespace

double byte_allowance::left(time_point now) {
    const auto burst = static_cast<double>(burst_);
    if (!started_) {
        started_ = true;
        left_ = burst;
    } else {
        const std::chrono::duration<double> passed = now - refilled_;
        left_ = std::min(burst,
                         left_ + passed.count() * static_cast<double>(rate_));
    }
    refilled_ = now;
    return left_;
}

bool log_writer::has_room(std::size_t bytes, log_weight weight,
                          time_point now) {
    const auto kept = weight == log_weight::detail ? limits_.reserve : 0;
    return static_cast<double>(bytes + kept) <= allowance_.left(now) &&
           waiting_.size() + bytes + kept <= limits_.waiting;
}

byte_allowance* log_writer::share_of(std::string_view event,
                                     log_weight weight) {
    if (event.empty() || weight != log_weight::change) {
        return nullptr;
    }
    auto known = shares_.find(event);
    if (known == shares_.end()) {
        known = shares_
                    .emplace(event, byte_allowance(limits_.event_rate,
                                                   limits_.event_burst))
                    .first;
    }
    return &known->second;
}

void log_writer::add(std::string_view lines, log_weight weight, time_point now,
                     std::string_view event) {
    auto* share = share_of(event, weight);
    const bool has_share =
        share == nullptr ||
        static_cast<double>(lines.size()) <= share->left(now);
    if (!has_share || !has_room(lines.size(), weight, now)) {
        dropped_ += static_cast<std::uint64_t>(
            std::count(lines.begin(), lines.end(), '\n'));
        return;
    }
    tell_dropped(now);
    allowance_.use(lines.size());
    if (share != nullptr) {
        share->use(lines.size());
    }
    waiting_ += lines;
}

void log_writer::tell_dropped(time_point now) {
    const bool due = now - told_at_ >= telling_period || told_ == 0;
    if (dropped_ != told_ && due) {
        told_at_ = now;
        waiting_ += "level=WARNING event=log_lines_dropped lines=" +
                    std::to_string(dropped_ - told_) +
                    " total=" + std::to_string(dropped_) + "\n";
        told_ = dropped_;
    }
}

bool log_writer::reader_takes() const {
    pollfd asked{file_, POLLOUT, 0};
    return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

// An error leaves the lines where they are; when they are too many the newest
// are dropped and counted. There is nowhere else to tell it.
void log_writer::flush() {
    std::size_t done = 0;
    while (done < waiting_.size() && reader_takes()) {
        const auto size = std::min(chunk, waiting_.size() - done);
        const auto written = ::write(file_, waiting_.data() + done, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    waiting_.erase(0, done);
}

} // namespace waxwingvale::program
