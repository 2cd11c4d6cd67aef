#include "platform/counted_repeats.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;

nlohmann::json budgets() {
    constexpr double local_retries = 1.0; // bounds no more than the service's
    return {{"retries", local_retries},
            {"repeats", counted_repeats::ratio},
            {"repeat_window_ms", counted_repeats::window / 1ms},
            {"repeat_extra", counted_repeats::extra}};
}

// How many of the ascending times are after `from` and not after `to`.
double between(const std::vector<time_point>& times, time_point from,
               time_point to) {
    const auto first = std::upper_bound(times.begin(), times.end(), from);
    const auto last = std::upper_bound(times.begin(), times.end(), to);
    return static_cast<double>(last - first);
}

} // namespace

counted_repeats::counted_repeats(std::size_t instance_count)
    : ending_servers(instance_count, 8, budgets()) {
    for (auto& each : servers) {
        each->on_arrival = [this](const io::http_request& arrived) {
            count(arrived);
        };
    }
    go_on(window + 1s); // what was sent until all were ready is no more counted
    forget();
}

void counted_repeats::forget() {
    arrivals_.clear();
    requests_.clear();
    repeats_.clear();
}

void counted_repeats::count(const io::http_request& arrived) {
    const auto* attempt =
        io::find_header(arrived.headers, "Waxwingvale-Attempt-Id");
    if (attempt != nullptr && ++arrivals_[*attempt] > 1) {
        repeats_.push_back(timers.now());
    }
}

void counted_repeats::read_for(
    duration time, duration gap,
    const std::function<void(std::size_t)>& meanwhile, duration step) {
    const auto sending = timers.every(gap, [&](time_point) {
        ++next_;
        requests_.push_back(timers.now());
        send({"read",
              "a.example",
              "/look/" + std::to_string(next_),
              "GET",
              {},
              {}},
             only_instance.value_or(next_));
    });
    std::size_t steps = 0;
    const auto acting = timers.every(step, [&](time_point) {
        if (meanwhile) {
            meanwhile(steps++);
        }
    });
    go_on(time);
}

repeat_window counted_repeats::worst_window() const {
    repeat_window worst;
    for (const auto end : repeats_) {
        repeat_window seen;
        seen.end = end;
        seen.repeats = between(repeats_, end - window, end);
        double requests = 0;
        for (const duration earlier : {duration::zero(), window / 2, window}) {
            const auto until = end - earlier;
            requests =
                std::max(requests, between(requests_, until - window, until));
        }
        seen.allowed = ratio * requests + extra;
        const bool worse =
            seen.repeats - seen.allowed > worst.repeats - worst.allowed;
        if (worst.repeats == 0 || worse) {
            worst = seen;
        }
    }
    return worst;
}

} // namespace waxwingvale::platform
