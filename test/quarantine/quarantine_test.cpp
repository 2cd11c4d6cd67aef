#include <catch2/catch.hpp>

#include "quarantine/crash_world.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using quarantine_model::crash_rules;
using quarantine_model::crash_world;
using std::chrono::seconds;

namespace {

standin::schedule_run model_with(const crash_rules& rules) {
    return [rules](const standin::schedule& steps) {
        return crash_world(rules).run(steps);
    };
}

const time_point start{};
const request_fingerprint killer{1};
const request_fingerprint beside{2};

} // namespace

// One request kills each backend server that runs it, and its caller sends it
// again and again, each time through another entry instance. Without us a
// whole service would be gone within a few resends.
TEST_CASE("A crashing request kills at most two backend servers") {
    REQUIRE(standin::explore("quarantine", model_with({})));
}

// The bound rests on the word between entry instances, and the innocents'
// safety on trials without company. A model that did not notice when they are
// missing would prove nothing.
TEST_CASE("The model catches broken quarantines") {
    const std::string killed = "a request killed more than two backend servers";
    const std::string shut_out = "an innocent request was shut out";
    crash_rules deaf;
    deaf.peers_hear = false;
    REQUIRE(
        standin::caught_after("peers do not hear", model_with(deaf), killed));
    crash_rules in_company;
    in_company.trial_is_alone = false;
    REQUIRE(standin::caught_after("trials in company", model_with(in_company),
                                  shut_out));
}

// Six requests share a backend server when one of them kills it. The other
// five callers would be shut out with the culprit if being there were proof.
TEST_CASE("Those who were beside a crash are cleared by passing") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {killer, beside}, start);
    REQUIRE(std::get<run_alone>(entry.admit(beside, start)).avoid == "b0");
    const auto cleared = entry.on_passed(beside, start);
    REQUIRE(cleared->state == suspicion_state::cleared);
    REQUIRE(std::holds_alternative<run_normally>(entry.admit(beside, start)));

    REQUIRE(std::holds_alternative<run_alone>(entry.admit(killer, start)));
    entry.on_trial_placed(killer, {"b1", 1});
    const auto words = entry.on_backend_died({"b1", 1}, {killer}, start);
    REQUIRE(words.at(0).state == suspicion_state::quarantined);
    REQUIRE(
        std::holds_alternative<refuse_quarantined>(entry.admit(killer, start)));
}

// A rack fails, and a few seconds later another one. A popular read was in
// flight on both; shutting it out would keep everyone from the slate.
TEST_CASE("Two deaths in company prove nothing") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {beside, killer}, start);
    entry.on_backend_died({"b1", 1}, {beside, killer}, start + seconds(5));
    REQUIRE(entry.quarantined(start + seconds(5)).empty());
    REQUIRE(std::holds_alternative<run_alone>(
        entry.admit(beside, start + seconds(5))));
}

// An older copy of a suspect is still in flight somewhere when its trial begins
// and a rack takes that copy along: its end says nothing about the request.
TEST_CASE("Only the death of the trial's own backend server is proof") {
    quarantine entry("e0", {});
    entry.on_backend_died({"b0", 1}, {beside, killer}, start);
    entry.admit(beside, start);
    entry.on_trial_placed(beside, {"b2", 1});
    entry.on_backend_died({"b1", 1}, {beside}, start);
    REQUIRE(entry.quarantined(start).empty());
}

// While a suspect is on trial, its caller sends it again. Running the second
// copy as well could cost one more backend server.
TEST_CASE("Only one copy of a suspect is on trial, at its tester") {
    quarantine tester("e0", {});
    quarantine other("e1", {});
    const auto words = tester.on_backend_died({"b0", 1}, {killer}, start);
    REQUIRE(other.merge(words.at(0), start));
    tester.admit(killer, start);
    REQUIRE(
        std::holds_alternative<refuse_suspect>(tester.admit(killer, start)));
    const auto elsewhere = other.admit(killer, start);
    REQUIRE(std::get<refuse_suspect>(elsewhere).tester == "e0");
    // The tester may be gone; then another instance may try it.
    REQUIRE(std::holds_alternative<run_alone>(
        other.admit(killer, start + seconds(10))));
}

// Everyone looks at the same slate when one of the backend servers that show
// it dies. Nobody should wait for a trial of what has just worked for all.
TEST_CASE("What passed a moment ago is no suspect, here or at a peer") {
    quarantine entry("e0", {});
    quarantine other("e1", {});
    entry.on_passed(beside, start);
    other.on_passed(beside, start);
    const auto died = start + seconds(5);
    const auto words = entry.on_backend_died({"b0", 1}, {beside, killer}, died);
    REQUIRE(words.size() == 1);
    REQUIRE(words[0].fingerprint == killer);
    REQUIRE(std::holds_alternative<run_normally>(entry.admit(beside, died)));

    quarantine stranger("e2", {});
    const auto suspected = stranger.on_backend_died({"b0", 1}, {beside}, died);
    REQUIRE_FALSE(other.merge(suspected.at(0), died));
    REQUIRE(std::holds_alternative<run_normally>(other.admit(beside, died)));
    // Long afterwards it is as unknown as any other.
    REQUIRE(other.merge(suspected.at(0), start + seconds(60)));
}

// A caller invents ever new requests that all die with their backend servers.
// The list stays bounded, and what is proved outlives mere suspicion.
TEST_CASE("A full quarantine forgets suspicions before proofs") {
    quarantine_limits limits;
    limits.fingerprints = 2;
    quarantine entry("e0", limits);
    entry.on_backend_died({"b0", 1}, {killer}, start);
    entry.admit(killer, start);
    entry.on_trial_placed(killer, {"b1", 1});
    entry.on_backend_died({"b1", 1}, {killer}, start);
    for (std::uint64_t made_up = 10; made_up < 20; ++made_up) {
        entry.on_backend_died({"b2", made_up}, {request_fingerprint{made_up}},
                              start);
    }
    REQUIRE(entry.size() == 2);
    REQUIRE(entry.quarantined(start) == std::vector<std::uint64_t>{1});
}
