#pragma once

#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/clock.hpp>

namespace waxwingvale {

// A loop with real time and hubs on it, for tests of links.
struct hub_bench {
    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};

    std::unique_ptr<io::message_hub>
    make_hub(const std::string& name, const std::string& key = "secret") {
        io::message_hub_options options;
        options.self_name = name;
        options.shared_key = key;
        return make_hub(std::move(options));
    }

    std::unique_ptr<io::message_hub> make_hub(io::message_hub_options options) {
        return std::make_unique<io::message_hub>(loop, timers,
                                                 std::move(options));
    }

    // Runs the loop until the condition holds; false when it does not within
    // a bound that is far beyond what any test needs.
    bool run_until(const std::function<bool()>& condition) {
        constexpr duration bound = std::chrono::seconds(20);
        const auto give_up = clock.now() + bound;
        auto keep_waking =
            timers.every(std::chrono::milliseconds(20), [](time_point) {});
        while (!condition()) {
            if (clock.now() > give_up) {
                return false;
            }
            loop.run_once(true);
        }
        return true;
    }
};

inline std::vector<std::uint8_t> bytes_of(const std::string& text) {
    return std::vector<std::uint8_t>(text.begin(), text.end());
}

inline std::string text_of(const std::vector<std::uint8_t>& bytes) {
    return std::string(bytes.begin(), bytes.end());
}

} // namespace waxwingvale
