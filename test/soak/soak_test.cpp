#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "standin/process.hpp"

using namespace waxwingvale::standin;

namespace {

constexpr std::chrono::seconds whole_run{110};

// Plays the seed on real processes; shows what the soak has printed when
// something was broken.
void play(const std::string& seed, const std::string& seconds,
          const std::vector<std::string>& more = {}) {
    std::vector<std::string> arguments = {"--seed=" + seed,
                                          "--seconds=" + seconds};
    arguments.insert(arguments.end(), more.begin(), more.end());
    child_process soak("standin-soak", arguments);
    const auto told = soak.read_rest(whole_run);
    INFO(told);
    CHECK(soak.wait() == 0);
}

} // namespace

// Instances, backend servers, the platform and the links between them are
// killed, stopped, paused, slowed and cut in overlapping series. Callers get
// their own answers or a stated refusal, no booking runs twice or after it was
// said not to run, and all serve again afterwards.
TEST_CASE("a short soak breaks no promise") {
    play("1", "5");
    play("2", "5");
}

// Guards against the same beside backend servers that name limits and ask for
// rest, while instances and these servers are killed, stopped and paused.
TEST_CASE("a short soak with limits and rests breaks no promise") {
    play("3", "5", {"--terms"});
}

// An instance is killed with bookings in flight and started again; a copy of
// one reached it before it had a configuration and was answered "not run",
// although it had run: its caller would have booked once more.
TEST_CASE("seed 113: a started instance does not say that nothing ran") {
    play("113", "8");
}

// Instances are told to stop again and again, also right after their start. One
// was ended by the signal itself, with whatever it had accepted.
TEST_CASE("seed 144: a stop right after the start is in order") {
    play("144", "8");
}

// Guards against a request that is refused everywhere for minutes, since the
// connection of its trial was reset: that proves no crash.
TEST_CASE("seed 8021: connections that are reset quarantine no request") {
    play("8021", "8");
}
