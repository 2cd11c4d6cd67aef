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

// These run in model time: the same figures on every machine.

TEST_CASE("owners together come near the ideal queue") {
    const run_figures ours =
        run("bramblewood", "steady-70", unhedged_policy_name);
    const run_figures ideal = run("bramblewood", "steady-70", "ideal-queue");
    const run_figures lone = run("bramblewood", "steady-70", "least-in-flight");
    CHECK(ours.p99_ms < 1.1 * ideal.p99_ms);
    CHECK(ours.p50_ms < 1.1 * ideal.p50_ms);
    CHECK(lone.p50_ms > 1.2 * ours.p50_ms);
}

TEST_CASE("above capacity the slots go on serving in time") {
    // On Friday three times as many calls come as the slots can serve. Were
    // they queued until too late, the slots would work for answers that
    // nobody waits for any more.
    for (const char* user : {"cooperative", "bramblewood"}) {
        const run_figures ours = run(user, "surge-3x", waxwing_policy_name);
        CHECK(ours.of_capacity > 0.94);
        CHECK(ours.failed < 0.01);
        CHECK(ours.spread < 3.0);
    }
}

TEST_CASE("a straggler is passed over") {
    // A noisy neighbour makes one backend server of ten eight times slower.
    // Callers sent there would wait eight times as long.
    const run_figures without =
        run("bramblewood", "steady-70", unhedged_policy_name);
    const run_figures with =
        run("bramblewood", "straggler", unhedged_policy_name);
    CHECK(with.p99_ms < 1.2 * without.p99_ms);
}

TEST_CASE("a backend server that fails fast does not attract calls") {
    // It answers each request with an error within a millisecond, so that it
    // always has the fewest in flight.
    const run_figures ours =
        run("bramblewood", "failing-fast", waxwing_policy_name);
    CHECK(ours.retries < 0.01);
    CHECK(ours.goodput > 0.999);
}

TEST_CASE("the loss of an owner costs only what it had in flight") {
    // An owner stops without a word. Its callers go to their next address,
    // and its slots are used by share until they have a new owner.
    const run_figures ours =
        run("bramblewood", "owner-lost", waxwing_policy_name);
    CHECK(ours.goodput > 0.99);
}

TEST_CASE("on shared machines nearly all are answered in time") {
    // Backend servers are four times slower for a quarter or a third of the
    // time. Chosen by who has the fewest requests, one caller in six or more
    // waits longer than the target.
    for (const char* user : {"cooperative-shared", "bramblewood-shared"}) {
        const run_figures ours = run(user, "steady-70", waxwing_policy_name);
        const run_figures lone = run(user, "steady-70", "least-in-flight");
        INFO(user);
        CHECK(ours.in_time > 0.97);
        CHECK(lone.in_time < 0.85);
    }
}

TEST_CASE("on shared machines far above capacity answers still are in time") {
    // Three times as many calls come as the servers can serve. First come,
    // first served, all of them would be late; here most of what the servers
    // can do is answered in time, and the others are told at once.
    for (const char* user : {"cooperative-shared", "bramblewood-shared"}) {
        service_size size = size_of(user);
        size.owners = 1;
        const workload load =
            make_workload("surge-3x", size, 1, duration(6000000));
        const run_figures ours = run_one(load, waxwing_policy_name, {});
        const run_figures lone = run_one(load, "least-in-flight", {});
        INFO(user);
        CHECK(ours.in_time > 0.35);
        CHECK(lone.in_time < 0.05);
        CHECK(ours.failed < 0.01);
    }
}

TEST_CASE("who knows the future earns most") {
    // Its figure is the limit that every mechanism is measured against: were it
    // below ours, the model or that policy would be wrong.
    for (const char* scenario : {"steady-85", "rush", "surge-3x"}) {
        const run_figures ours =
            run("mixed-shared", scenario, waxwing_policy_name);
        const run_figures most = run("mixed-shared", scenario, "clairvoyant");
        CHECK(most.worth >= ours.worth);
        CHECK(most.worth <= 1);
    }
}
