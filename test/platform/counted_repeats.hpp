#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/ending_servers.hpp"

namespace waxwingvale::platform {

// The repeats of one service that were seen in a window, and those allowed.
struct repeat_window {
    time_point end{};
    double repeats = 0;
    double allowed = 0;
};

// Several instances on stand-in servers that count what arrives: the first
// arrival of each request, and the others, which are repeats.
class counted_repeats : public ending_servers {
public:
    static constexpr duration window = std::chrono::seconds(3);
    static constexpr double ratio = 0.2;
    static constexpr unsigned extra = 40;

    explicit counted_repeats(std::size_t instance_count = 5);

    // Sends reads, each another one, every `gap` by way of one instance after
    // the other, or of the given one only, while `meanwhile` is called every
    // `step` with the number of the step.
    void read_for(duration time, duration gap,
                  const std::function<void(std::size_t)>& meanwhile = {},
                  duration step = std::chrono::milliseconds(300));
    // The only instance to send reads to; none: all.
    std::optional<std::size_t> only_instance;

    // The window in which most repeats beyond the allowed ones arrived.
    repeat_window worst_window() const;
    std::size_t repeats() const { return repeats_.size(); }
    // Forgets what was counted so far.
    void forget();

private:
    void count(const io::http_request& arrived);

    std::map<std::string, unsigned> arrivals_; // by attempt
    std::vector<time_point> requests_;         // when they were sent
    std::vector<time_point> repeats_;          // when they arrived
    std::size_t next_ = 0;
};

} // namespace waxwingvale::platform
