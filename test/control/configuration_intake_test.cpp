#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <waxwingvale/control/published_state.hpp>
#include <waxwingvale/membership/configuration_register.hpp>

#include "control/configuration_intake.hpp"
#include "standin/raw_peer.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using membership::offer_outcome;

namespace {

result<configuration> parsed(const configuration_text& file) {
    if (file.text == "bad") {
        return error{error_code::malformed, "read", "", ""};
    }
    configuration made;
    made.revision = file.revision;
    return made;
}

// Has so many turns, and counts them.
class slow_reading : public control::configuration_reading {
public:
    slow_reading(configuration_text file, unsigned turns, unsigned& all_turns)
        : file_(std::move(file)), left_(turns), all_turns_(all_turns) {}

    bool read_on() override {
        std::this_thread::sleep_for(100us); // what is due then waits a turn
        ++all_turns_;
        return --left_ == 0;
    }
    result<configuration> take() override { return parsed(file_); }

private:
    configuration_text file_;
    unsigned left_;
    unsigned& all_turns_;
};

// Any file takes ten turns but "short".
class slow_files : public control::published_values {
public:
    std::unique_ptr<control::configuration_reading>
    begin(const configuration_text& file) const override {
        if (file.text == "short") {
            return nullptr;
        }
        return std::make_unique<slow_reading>(file, turns_of_each, turns);
    }

    static constexpr unsigned turns_of_each = 10;
    mutable unsigned turns = 0;
};

struct intake_world : standin::loop_fixture {
    offer_outcome offer(std::uint64_t revision, const std::string& text) {
        return intake.offer({revision, text}, [this, revision](auto outcome) {
            told.emplace_back(revision, outcome);
        });
    }

    slow_files files;
    membership::configuration_register configurations{parsed};
    control::configuration_intake intake{timers, configurations, files};
    std::vector<std::pair<std::uint64_t, offer_outcome>> told;
};

} // namespace

// Guards against a turn of the loop as long as a configuration of the largest
// size: requests wait that long for their answers.
TEST_CASE("a long configuration is read on turns of their own") {
    intake_world world;
    CHECK(world.offer(7, "long") == offer_outcome::begun);
    CHECK(world.files.turns == 0);
    unsigned loops = 0;
    const auto ticking = world.timers.every(1ms, [](time_point) {});
    while (world.told.empty()) {
        const auto before = world.files.turns;
        world.loop.run_once(true);
        CHECK(world.files.turns <= before + 1);
        ++loops;
    }
    CHECK(loops >= slow_files::turns_of_each);
    CHECK(world.told.front() ==
          std::pair(std::uint64_t(7), offer_outcome::accepted));
    CHECK(world.configurations.revision() == 7);
}

TEST_CASE("a short configuration is in force at once") {
    intake_world world;
    CHECK(world.offer(7, "short") == offer_outcome::accepted);
    CHECK(world.offer(7, "short") == offer_outcome::duplicate);
    CHECK(world.offer(6, "long") == offer_outcome::older);
    CHECK(world.told.empty());
}

// Guards against old routes for as long as new files keep coming: each would be
// given up for the next.
TEST_CASE("a configuration is read to its end though newer ones come") {
    intake_world world;
    std::uint64_t revision = 7;
    const auto writing = world.timers.every(
        1ms, [&](time_point) { world.offer(++revision, "long"); });
    world.offer(revision, "long");
    REQUIRE(world.run_until([&] { return world.told.size() > 20; }));
    CHECK(world.told.front().first == 7);
    CHECK(world.configurations.revision() + 100 > revision);
    CHECK(world.configurations.counters().accepted > 1);
}

// Guards against files that are read though a newer one is there, one after the
// other, while the newest waits.
TEST_CASE("of the configurations that wait the newest is read") {
    intake_world world;
    for (const std::uint64_t revision : {3, 5, 9, 8}) {
        CHECK(world.offer(revision, "long") == offer_outcome::begun);
    }
    REQUIRE(world.run_until([&] { return world.told.size() == 4; }));
    CHECK(world.configurations.revision() == 9);
    CHECK(world.files.turns == 2 * slow_files::turns_of_each);
    const std::map<std::uint64_t, offer_outcome> outcomes(world.told.begin(),
                                                          world.told.end());
    CHECK(outcomes.at(3) == offer_outcome::accepted);
    CHECK(outcomes.at(9) == offer_outcome::accepted);
    CHECK(outcomes.at(5) == offer_outcome::older);
    CHECK(outcomes.at(8) == offer_outcome::older);
}

TEST_CASE("a configuration that waits is read if the newer one is refused") {
    intake_world world;
    world.offer(3, "long");
    world.offer(5, "long");
    world.offer(9, "bad");
    REQUIRE(world.run_until([&] { return world.told.size() == 3; }));
    CHECK(world.configurations.revision() == 5);
    CHECK(world.configurations.refused_revision() == 9);
}

TEST_CASE("a short configuration overtakes an older one that is being read") {
    intake_world world;
    world.offer(3, "long");
    CHECK(world.offer(5, "short") == offer_outcome::accepted);
    REQUIRE(world.run_until([&] { return world.told.size() == 1; }));
    CHECK(world.told.front().second == offer_outcome::older);
    CHECK(world.configurations.revision() == 5);
}
