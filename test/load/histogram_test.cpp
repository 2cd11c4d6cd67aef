#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "waxwing_load/latency_histogram.hpp"

using namespace waxwingvale;
using waxwingvale::load::latency_histogram;

TEST_CASE("small values are told exactly") {
    latency_histogram histogram;
    for (int us = 1; us <= 100; ++us) {
        histogram.record(duration(us));
    }
    CHECK(histogram.quantile(0.5) == duration(50));
    CHECK(histogram.quantile(0.99) == duration(99));
    CHECK(histogram.quantile(1) == duration(100));
    CHECK(latency_histogram().quantile(0.99) == duration(0));
}

TEST_CASE("any value is told within one part in 1024, and never too small") {
    const bool held = rc::check([] {
        const auto value = *rc::gen::inRange<duration::rep>(0, 1LL << 36);
        latency_histogram histogram;
        histogram.record(duration(value));
        histogram.record(duration(1LL << 36));
        const auto told = histogram.quantile(0.5).count();
        RC_ASSERT(told >= value);
        RC_ASSERT(told - value <= value / 1024);
    });
    CHECK(held);
}

TEST_CASE("merged histograms hold the values of both") {
    latency_histogram one;
    latency_histogram other;
    one.record(duration(10));
    other.record(duration(30'000));
    one.merge(other);
    CHECK(one.count() == 2);
    CHECK(one.quantile(0.5) == duration(10));
    CHECK(one.max() == duration(30'000));
}
