#include <catch2/catch.hpp>

#include "waxwing_replay/comparison.hpp"

using namespace waxwingvale;
using namespace waxwingvale::replay;

namespace {

run_figures run(const std::string& user, const std::string& scenario,
                const std::string& policy) {
    const workload load =
        make_workload(scenario, size_of(user), 1, duration(4000000));
    return run_one(load, policy, {});
}

} // namespace

// These tests run in simulated time and give the same figures on every machine.

TEST_CASE("several owners perform nearly as well as one ideal queue") {
    const run_figures waxwing =
        run("bramblewood", "steady-70", unhedged_policy_name);
    const run_figures ideal_queue =
        run("bramblewood", "steady-70", "ideal-queue");
    const run_figures least_in_flight =
        run("bramblewood", "steady-70", "least-in-flight");
    CHECK(waxwing.p99_ms < 1.1 * ideal_queue.p99_ms);
    CHECK(waxwing.p50_ms < 1.1 * ideal_queue.p50_ms);
    CHECK(least_in_flight.p50_ms > 1.2 * waxwing.p50_ms);
}

TEST_CASE("above capacity the slots serve requests before their deadlines") {
    // Three times as many calls arrive as the slots can serve. If they were
    // queued too long, the slots would be spent on answers after the deadline.
    for (const char* user : {"cooperative", "bramblewood"}) {
        const run_figures waxwing = run(user, "surge-3x", waxwing_policy_name);
        CHECK(waxwing.of_capacity > 0.94);
        CHECK(waxwing.failed < 0.01);
        CHECK(waxwing.spread < 3.0);
    }
}

TEST_CASE("a straggler hardly raises the 99th percentile of latency") {
    // A noisy neighbour makes one backend server of ten eight times slower.
    // Requests sent there would take eight times as long.
    const run_figures without =
        run("bramblewood", "steady-70", unhedged_policy_name);
    const run_figures with =
        run("bramblewood", "straggler", unhedged_policy_name);
    CHECK(with.p99_ms < 1.2 * without.p99_ms);
}

TEST_CASE("a backend server that fails fast does not attract calls") {
    // The server answers each request with an error within a millisecond and so
    // always has the fewest requests in flight.
    const run_figures waxwing =
        run("bramblewood", "failing-fast", waxwing_policy_name);
    CHECK(waxwing.retries < 0.01);
    CHECK(waxwing.goodput > 0.999);
}

TEST_CASE("the loss of an owner costs only its requests in flight") {
    // An owner stops without notice. Its callers use their next address, and
    // the other instances use shares of its slots until there is a new owner.
    const run_figures waxwing =
        run("bramblewood", "owner-lost", waxwing_policy_name);
    CHECK(waxwing.goodput > 0.99);
}

TEST_CASE("on shared machines nearly all are answered in time") {
    // Backend servers are four times slower for a quarter or a third of the
    // time. With the choice by fewest requests in flight, one call in six or
    // more misses its target.
    for (const char* user : {"cooperative-shared", "bramblewood-shared"}) {
        const run_figures waxwing = run(user, "steady-70", waxwing_policy_name);
        const run_figures least_in_flight =
            run(user, "steady-70", "least-in-flight");
        INFO(user);
        CHECK(waxwing.in_time > 0.97);
        CHECK(least_in_flight.in_time < 0.85);
    }
}

TEST_CASE("on shared machines far above capacity many still are in time") {
    // Three times as many calls arrive as the servers can serve. In order of
    // arrival all of them would be late. Here most of the servers' capacity
    // goes into answers in time, and the other calls are refused at once.
    for (const char* user : {"cooperative-shared", "bramblewood-shared"}) {
        service_size size = size_of(user);
        size.owners = 1;
        const workload load =
            make_workload("surge-3x", size, 1, duration(6000000));
        const run_figures waxwing = run_one(load, waxwing_policy_name, {});
        const run_figures least_in_flight =
            run_one(load, "least-in-flight", {});
        INFO(user);
        CHECK(waxwing.in_time > 0.35);
        CHECK(least_in_flight.in_time < 0.05);
        CHECK(waxwing.failed < 0.01);
    }
}

TEST_CASE("the clairvoyant policy earns at least as much as the scheduler") {
    // The clairvoyant policy knows the future, and its figure is the upper
    // limit that others are compared with. A lower figure than the scheduler's
    // would show a fault of the simulation or of that policy.
    for (const char* scenario : {"steady-85", "rush", "surge-3x"}) {
        const run_figures waxwing =
            run("mixed-shared", scenario, waxwing_policy_name);
        const run_figures clairvoyant =
            run("mixed-shared", scenario, "clairvoyant");
        CHECK(clairvoyant.worth >= waxwing.worth);
        CHECK(clairvoyant.worth <= 1);
    }
}
