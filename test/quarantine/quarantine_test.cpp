#include <catch2/catch.hpp>

#include "quarantine/crash_simulation.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using quarantine_model::crash_rules;
using quarantine_model::crash_simulation;
using std::chrono::seconds;

namespace {

standin::schedule_run model_with(const crash_rules& rules) {
    return [rules](const standin::schedule& steps) {
        return crash_simulation(rules).run(steps);
    };
}

const time_point start{};
const request_fingerprint crashing{1};
const request_fingerprint harmless{2};

} // namespace

// Guards against the loss of a whole service: one request crashes each backend
// server that runs it, and its caller keeps sending it again, each time through
// another entry instance.
TEST_CASE("A crashing request crashes at most two backend servers") {
    REQUIRE(standin::explore("quarantine", model_with({})));
}

// Updates between entry instances keep the number of crashes at two, and trials
// without other requests protect harmless requests. This test checks that the
// simulation detects when either is missing.
TEST_CASE("The simulation detects broken quarantines") {
    const std::string crashed =
        "a request crashed more than two backend servers";
    const std::string quarantined = "a harmless request was quarantined";
    crash_rules no_updates;
    no_updates.peers_receive_updates = false;
    REQUIRE(standin::caught_after("no updates to peers", model_with(no_updates),
                                  crashed));
    crash_rules shared_trials;
    shared_trials.trial_is_alone = false;
    REQUIRE(standin::caught_after("trials beside other requests",
                                  model_with(shared_trials), quarantined));
}

// Guards against the quarantine of harmless requests: six requests are in
// flight on a backend server when one of them crashes it. The other five must
// not be refused for having been in flight there.
TEST_CASE("Requests in flight beside a crash are cleared by an answer") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {crashing, harmless}, start);
    REQUIRE(std::get<run_alone>(entry.admit(harmless, start)).avoid == "b0");
    const auto cleared = entry.on_answered(harmless, start);
    REQUIRE(cleared->state == suspicion_state::cleared);
    REQUIRE(std::holds_alternative<run_normally>(entry.admit(harmless, start)));

    REQUIRE(std::holds_alternative<run_alone>(entry.admit(crashing, start)));
    entry.on_trial_placed(crashing, {"b1", 1});
    const auto updates = entry.on_backend_died({"b1", 1}, {crashing}, start);
    REQUIRE(updates.at(0).state == suspicion_state::quarantined);
    REQUIRE(std::holds_alternative<refuse_quarantined>(
        entry.admit(crashing, start)));
}

// Guards against the quarantine of popular requests: a rack fails, and a few
// seconds later another one. A popular read was in flight on both; its
// quarantine would refuse it to all callers.
TEST_CASE("Two crashes beside other requests do not lead to quarantine") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {harmless, crashing}, start);
    entry.on_backend_died({"b1", 1}, {harmless, crashing}, start + seconds(5));
    REQUIRE(entry.quarantined(start + seconds(5)).empty());
    REQUIRE(std::holds_alternative<run_alone>(
        entry.admit(harmless, start + seconds(5))));
}

// Guards against the quarantine of a harmless request: an older copy of a
// suspect is still in flight on another backend server when the trial begins,
// and a rack failure ends that backend server.
TEST_CASE(
    "Only a crash of the trial's own backend server leads to quarantine") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {harmless, crashing}, start);
    entry.admit(harmless, start);
    entry.on_trial_placed(harmless, {"b2", 1});
    entry.on_backend_died({"b1", 1}, {harmless}, start);
    REQUIRE(entry.quarantined(start).empty());
}

// Guards against a third crash: the caller sends a suspect again while the
// suspect is on trial. The second copy could crash one more backend server.
TEST_CASE("Only one copy of a suspect is on trial, at its tester") {
    quarantine tester("e0", {});
    quarantine other("e1", {});
    const auto updates = tester.on_backend_died({"b0", 1}, {crashing}, start);
    REQUIRE(other.merge(updates.at(0), start));
    tester.admit(crashing, start);
    REQUIRE(
        std::holds_alternative<refuse_suspect>(tester.admit(crashing, start)));
    const auto elsewhere = other.admit(crashing, start);
    REQUIRE(std::get<refuse_suspect>(elsewhere).tester == "e0");
    // The tester may have gone down. After the reservation another instance may
    // run the trial.
    REQUIRE(std::holds_alternative<run_alone>(
        other.admit(crashing, start + seconds(10))));
}

// Guards against delays of popular reads: many callers read the same page when
// one of the backend servers that serve it crashes. No caller should wait for a
// trial of a request that has just been answered elsewhere.
TEST_CASE("A recently answered request is not suspected, here or at a peer") {
    quarantine entry("e0", {});
    quarantine other("e1", {});
    entry.on_answered(harmless, start);
    other.on_answered(harmless, start);
    const auto crash_time = start + seconds(5);
    const auto updates =
        entry.on_backend_died({"b0", 1}, {harmless, crashing}, crash_time);
    REQUIRE(updates.size() == 1);
    REQUIRE(updates[0].fingerprint == crashing);
    REQUIRE(std::holds_alternative<run_normally>(
        entry.admit(harmless, crash_time)));

    quarantine third("e2", {});
    const auto suspected =
        third.on_backend_died({"b0", 1}, {harmless}, crash_time);
    REQUIRE_FALSE(other.merge(suspected.at(0), crash_time));
    REQUIRE(std::holds_alternative<run_normally>(
        other.admit(harmless, crash_time)));
    // After a long time it can become a suspect like any other request.
    REQUIRE(other.merge(suspected.at(0), start + seconds(60)));
}

// Guards against unlimited memory: a caller sends ever new requests, and each
// is in flight when its backend server crashes. Suspects are removed before
// quarantined requests.
TEST_CASE("A full quarantine removes suspects before quarantined requests") {
    quarantine_limits limits;
    limits.max_fingerprints = 2;
    quarantine entry("e0", limits);
    entry.on_backend_died({"b0", 1}, {crashing}, start);
    entry.admit(crashing, start);
    entry.on_trial_placed(crashing, {"b1", 1});
    entry.on_backend_died({"b1", 1}, {crashing}, start);
    for (std::uint64_t invented = 10; invented < 20; ++invented) {
        entry.on_backend_died({"b2", invented}, {request_fingerprint{invented}},
                              start);
    }
    REQUIRE(entry.size() == 2);
    REQUIRE(entry.quarantined(start) == std::vector<std::uint64_t>{1});
}
