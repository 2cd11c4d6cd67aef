#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "standin/fleet.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

constexpr auto sample_period = 100ms;
constexpr std::size_t samples_per_window = 40; // a window of 4 s

// All requests that the server got, those that it refused included.
std::uint64_t arrivals(const backend_process& at) {
    const auto runs = at.runs();
    auto sum = runs.at("begun").get<std::uint64_t>();
    for (const auto& why : runs.at("refused")) {
        sum += why.get<std::uint64_t>();
    }
    return sum;
}

// Half more than the limit allows in a window, and five.
std::uint64_t allowed(double requests_per_second) {
    const double seconds =
        std::chrono::duration<double>(sample_period * samples_per_window)
            .count();
    return static_cast<std::uint64_t>(1.5 * requests_per_second * seconds) + 5;
}

// The most that the server gets in any window of that time. `meanwhile` is
// called with the number of each sample.
template <typename Meanwhile>
std::uint64_t most_in_a_window(const backend_process& at, std::size_t samples,
                               Meanwhile meanwhile) {
    std::vector<std::uint64_t> counts;
    std::uint64_t most = 0;
    for (std::size_t sample = 0; sample < samples; ++sample) {
        meanwhile(sample);
        counts.push_back(arrivals(at));
        const auto before = counts.size() > samples_per_window
                                ? counts[counts.size() - 1 - samples_per_window]
                                : counts.front();
        most = std::max(most, counts.back() - before);
        std::this_thread::sleep_for(sample_period);
    }
    return most;
}

fleet_options four_instances() {
    fleet_options options;
    options.entry_instances = 4;
    options.backend_servers = 3;
    options.backend_options = {"--service-ms=20"};
    return options;
}

} // namespace

TEST_CASE("a limit holds while one instance after the other is killed") {
    // Guards against a limit that is lost with the owner of its server's slots:
    // the next owner, and an instance that has just started, know of none.
    fleet running(four_instances());
    running.start();
    auto load =
        running.start_load({"--calls=2100", "--rate=150", "--attempts=3"});
    auto& limited = running.backend(0);
    REQUIRE(wait_until([&] { return arrivals(limited) >= 20; }));
    limited.fault("limit=3");
    std::this_thread::sleep_for(3s);
    constexpr std::size_t samples = 80;
    const auto most =
        most_in_a_window(limited, samples, [&](std::size_t sample) {
            constexpr std::size_t between_kills = 20;
            const auto victim = sample / between_kills;
            if (sample % between_kills == 0) {
                running.instance(victim).process().kill();
                running.instance(victim).start();
            }
        });
    CHECK(most <= allowed(3));
    CHECK(most >= 3);
    limited.fault("limit=none");
    const auto before = arrivals(limited);
    CHECK(wait_until([&] { return arrivals(limited) >= before + 30; }));
    static_cast<void>(finish_load(load));
}

TEST_CASE("callers do not notice that a backend server takes less") {
    // Guards against requests that wait for the server with a limit, or are
    // refused for it, while the others have room.
    fleet running(four_instances());
    running.start();
    auto load = running.start_load(
        {"--calls=900", "--rate=150", "--write-fraction=0.5"});
    auto& limited = running.backend(0);
    REQUIRE(wait_until([&] { return arrivals(limited) >= 20; }));
    limited.fault("limit=1");
    const auto report = finish_load(load);
    INFO(report.through.dump(2));
    CHECK(report.ended("answered") == 900);
}
