#include <catch2/catch.hpp>
#include <exception>
#include <rapidcheck.h>

#include "fuzz_target.hpp"
#include "mutation.hpp"

TEST_CASE("every seed is handled as its target demands") {
    for (const auto& target : fuzz_targets()) {
        for (const auto& seed : target.seeds()) {
            INFO(target.name);
            CHECK_NOTHROW(target.run(seed));
        }
    }
}

TEST_CASE("input from outside never breaks what reads it") {
    // A file cut short, a peer of another release, a caller with a broken
    // client or one that means harm. Whoever reads it refuses it with an error
    // that tells where it came from; a crash would take all callers along.
    const auto& target = GENERATE(from_range(fuzz_targets()));
    const auto seeds = target.seeds();
    INFO(target.name);
    CHECK(rc::check([&] {
        auto input = *rc::gen::elementOf(seeds);
        const auto rounds = *rc::gen::inRange(1, 4);
        for (int round = 0; round < rounds; ++round) {
            input = mutated(input);
        }
        try {
            target.run(input);
        } catch (const std::exception& failure) {
            RC_FAIL(std::string(target.name) + ": " + failure.what());
        }
    }));
}
