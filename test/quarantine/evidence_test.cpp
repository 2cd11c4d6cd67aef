#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/decision/silent_runs.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};
const request_fingerprint request{7};
const backend_process first{"b0", 1};
const backend_process second{"b1", 1};

bool refused_for_good(quarantine& by, time_point now) {
    return std::holds_alternative<refuse_quarantined>(by.admit(request, now));
}

bool runs_normally(quarantine& by, time_point now) {
    return std::holds_alternative<run_normally>(by.admit(request, now));
}

// The request was in flight on one server that ended, and its trial has lost
// the connection to another one.
quarantine after_lost_trial() {
    quarantine made("e0", {});
    made.on_backend_died(first, {request}, start);
    made.admit(request, start);
    made.on_trial_placed(request, second);
    made.on_connection_lost(request, second, true, start + 1s, start + 1s);
    return made;
}

void tell(quarantine& to, const std::vector<suspicion_update>& updates,
          time_point now) {
    for (const auto& update : updates) {
        to.merge(update, now);
    }
}

} // namespace

// Guards against a verdict by anything but the end of the trial's process, and
// against none by it.
TEST_CASE("only signs of an end prove that a process has ended") {
    CHECK(proves_end(server_sign::not_listening));
    CHECK(proves_end(server_sign::replaced));
    CHECK(proves_end(server_sign::unlisted));
    CHECK_FALSE(proves_end(server_sign::none));
    CHECK_FALSE(proves_end(server_sign::answered));
    CHECK_FALSE(proves_end(server_sign::connection_lost));
    CHECK_FALSE(proves_end(server_sign::silent));
}

// Guards against harmless copies that are refused for good, since others that
// differ from them in one header end servers.
TEST_CASE("copies that differ prove a crash only if two that differ did") {
    const std::uint64_t one = 1;
    const std::uint64_t other = GENERATE(1, 2);
    quarantine q("e0", {});
    q.on_connection_lost(request, first, false, start, start, one);
    q.on_process_ended(first, start);
    q.admit(request, start + 1s);
    q.on_trial_placed(request, second);
    q.on_connection_lost(request, second, true, start + 2s, start + 2s, other);
    q.on_process_ended(second, start + 2s);
    CHECK(refused_for_good(q, start + 3s) == (other != one));
    quarantine peer("e1", {});
    tell(peer, q.snapshot(start + 3s), start + 3s);
    CHECK(refused_for_good(peer, start + 3s) == (other != one));
}

// Guards against harmless requests that are refused elsewhere, since they were
// lost as this instance was partitioned from all servers.
TEST_CASE("what was lost in a partition makes no request a suspect") {
    quarantine q("e0", {});
    quarantine peer("e1", {});
    tell(peer, {*q.on_connection_lost(request, first, false, start, start)},
         start);
    REQUIRE_FALSE(runs_normally(peer, start));
    tell(peer, q.on_partitioned(start - 1s, start + 100ms), start + 100ms);
    CHECK(runs_normally(q, start + 200ms));
    CHECK(runs_normally(peer, start + 200ms));
}

// Guards against one more end: an instance that takes itself for partitioned,
// since most servers have ended and the others reset connections, drops what it
// has lost, the trial that ended its server among it.
TEST_CASE("a trial lost just before a partition stays open") {
    auto entry = after_lost_trial();
    entry.on_partitioned(start + 500ms, start + 1100ms);
    CHECK(std::holds_alternative<refuse_suspect>(
        entry.admit(request, start + 1200ms)));
    const bool ended = GENERATE(true, false);
    if (ended) {
        entry.on_process_ended(second, start + 2s);
    } else {
        entry.on_process_answered(second, start + 2s, start + 2s);
    }
    const auto decided = entry.admit(request, start + 2s);
    CHECK(std::holds_alternative<refuse_quarantined>(decided) == ended);
    CHECK(std::holds_alternative<run_alone>(decided) != ended);
}

// Guards against a request that is refused for good, since its connections were
// reset while its servers lived.
TEST_CASE("a lost connection alone refuses no request for good") {
    auto entry = after_lost_trial();
    CHECK_FALSE(refused_for_good(entry, start + 2s));
    entry.on_process_answered(second, start + 3s, start + 3s);
    CHECK_FALSE(refused_for_good(entry, start + 3s));
    entry.on_process_ended(second, start + 9s);
    CHECK_FALSE(refused_for_good(entry, start + 9s));
}

TEST_CASE("a trial that ended its process refuses the request for good") {
    auto entry = after_lost_trial();
    entry.on_process_ended(second, start + 2s);
    CHECK(refused_for_good(entry, start + 2s));
}

// Guards against a third end: copies that come before it has shown whether the
// last trial ended its process.
TEST_CASE("no other trial begins while the last one is undecided") {
    auto entry = after_lost_trial();
    CHECK(std::holds_alternative<refuse_suspect>(
        entry.admit(request, start + 5s)));
    CHECK(std::holds_alternative<run_alone>(entry.admit(request, start + 6s)));
}

// Guards against an answer that a process sent before it ended and that is read
// after its connections broke.
TEST_CASE("answers to what was sent before show nothing") {
    auto entry = after_lost_trial();
    entry.on_process_answered(second, start + 1s, start + 2s);
    entry.on_process_ended(second, start + 2s);
    CHECK(refused_for_good(entry, start + 2s));
}

// Guards against requests that stay refused after a server was wrongly taken
// for ended: it refused connections for a while, and runs on.
TEST_CASE("a process that answers later takes back that it ended") {
    auto entry = after_lost_trial();
    entry.on_process_ended(second, start + 2s);
    quarantine other("e1", {});
    tell(other, entry.snapshot(start + 2s), start + 2s);
    CHECK(refused_for_good(other, start + 2s));
    const auto updates =
        entry.on_process_answered(second, start + 3s, start + 3s);
    tell(other, updates, start + 3s);
    CHECK_FALSE(refused_for_good(entry, start + 3s));
    CHECK_FALSE(refused_for_good(other, start + 3s));
}

TEST_CASE("a later process of the name shows the end of the one before") {
    auto entry = after_lost_trial();
    entry.on_process_answered({"b1", 2}, start + 2s, start + 2s);
    CHECK(refused_for_good(entry, start + 2s));
}

// Guards against harmless requests that wait for a trial although no server has
// ended: a connection was reset, and the server goes on answering.
TEST_CASE("requests of a process that lives are no suspects any more") {
    quarantine entry("e0", {});
    entry.on_connection_lost(request, first, false, start, start);
    CHECK_FALSE(entry.may_run_in_company(request, start));
    const auto updates = entry.on_process_answered(first, start + 1ms, start);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].state == suspicion_state::cleared);
    CHECK(runs_normally(entry, start + 1ms));
}

// Guards against a request that is taken for harmless since a copy that had
// been sent before its first end is answered.
TEST_CASE("the answer of a copy that was sent before clears no suspect") {
    quarantine entry("e0", {});
    entry.on_backend_died(first, {request}, start);
    CHECK_FALSE(entry.on_answered(request, start - 1ms, start + 1s));
    CHECK_FALSE(runs_normally(entry, start + 1s));
    CHECK(entry.on_answered(request, start + 1s, start + 2s));
    CHECK(runs_normally(entry, start + 2s));
}

// Guards against a third end when the instance that saw the trial's connection
// break is killed before it has shown what became of the server.
TEST_CASE("any instance can decide on a trial of which it has heard") {
    auto tester = after_lost_trial();
    quarantine other("e1", {});
    tell(other, tester.snapshot(start + 1s), start + 1s);
    CHECK_FALSE(refused_for_good(other, start + 2s));
    const auto updates = other.on_process_ended(second, start + 2s);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].state == suspicion_state::quarantined);
    quarantine started("e2", {});
    tell(started, other.snapshot(start + 3s), start + 3s);
    CHECK(refused_for_good(started, start + 3s));
}

// Guards against a verdict that is missed since the sign came first: an owner's
// probe is refused before word of the lost trial arrives.
TEST_CASE("signs count for runs of which word comes later") {
    auto tester = after_lost_trial();
    quarantine ended("e1", {});
    ended.on_process_ended(second, start + 1s);
    tell(ended, tester.snapshot(start + 1s), start + 1s);
    CHECK(refused_for_good(ended, start + 1s));
    quarantine lives("e2", {});
    lives.on_process_answered(second, start + 1500ms, start + 1500ms);
    tell(lives, tester.snapshot(start + 2s), start + 2s);
    lives.on_process_ended(second, start + 30s);
    CHECK_FALSE(refused_for_good(lives, start + 30s));
}

// Guards against instances that differ for good: news arrives in any order.
TEST_CASE("the order of news makes no difference") {
    auto lost = after_lost_trial().snapshot(start + 1s);
    auto ended = after_lost_trial();
    const auto proof = ended.on_process_ended(second, start + 2s);
    auto answered = ended;
    const auto refuted =
        answered.on_process_answered(second, start + 3s, start + 3s);
    std::vector<std::vector<suspicion_update>> news = {lost, proof, refuted};
    const std::vector<std::size_t> order = GENERATE(
        std::vector<std::size_t>{0, 1, 2}, std::vector<std::size_t>{0, 2, 1},
        std::vector<std::size_t>{1, 0, 2}, std::vector<std::size_t>{1, 2, 0},
        std::vector<std::size_t>{2, 0, 1}, std::vector<std::size_t>{2, 1, 0});
    quarantine entry("e1", {});
    for (const auto each : order) {
        // Each piece of news was told at a moment of its own, and is as much
        // older when it comes.
        const auto told = start + 1s * (static_cast<int>(each) + 1);
        for (auto word : news[each]) {
            word.age += start + 4s - told;
            for (auto& run : word.runs) {
                run.age += start + 4s - told;
            }
            entry.merge(word, start + 4s);
        }
    }
    CHECK_FALSE(refused_for_good(entry, start + 4s));
    const auto kept = entry.snapshot(start + 4s);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].state == suspicion_state::suspect);
}

// Guards against a request that ends servers and is forgotten, since a data
// centre fails and leaves more suspects than are kept.
TEST_CASE("suspects without an end go before those with one") {
    quarantine_limits limits;
    limits.max_fingerprints = 4;
    quarantine entry("e0", limits);
    entry.on_backend_died(first, {request}, start);
    for (std::uint64_t other = 100; other < 120; ++other) {
        entry.on_connection_lost({other}, second, false, start + 1s,
                                 start + 1s);
    }
    CHECK(entry.size() == limits.max_fingerprints);
    CHECK_FALSE(entry.may_run_in_company(request, start + 1s));
}

// Guards against suspects by the hundred when servers are only slow, and
// against ends that are missed since they show as silence.
TEST_CASE("silence makes a suspect once the process answers nothing else") {
    silent_runs runs(2);
    runs.add({request, first, start});
    runs.on_answered(first, start - 1s);
    CHECK(runs.take_unanswered(first, start - 1s).empty());
    CHECK(runs.take_unanswered(second, start + 1s).empty());
    CHECK(runs.take_unanswered(first, start + 1s).size() == 1);
    runs.add({request, first, start});
    runs.on_answered(first, start + 1s);
    CHECK(runs.take_lost(first).empty());
    for (int each = 0; each < 5; ++each) {
        runs.add({request, second, start});
    }
    CHECK(runs.take_lost(second).size() == 2);
}

// Guards against two trials at once after the tester is gone: each would end a
// server.
TEST_CASE("whoever begins a trial late is the one to wait for") {
    quarantine gone("e0", {});
    quarantine late("e1", {});
    quarantine later("e2", {});
    const auto suspected = gone.on_backend_died(first, {request}, start);
    tell(late, suspected, start);
    tell(later, suspected, start);
    const auto after = start + quarantine_limits().trial_reservation;
    CHECK(std::holds_alternative<run_alone>(late.admit(request, after)));
    later.merge(*late.update_on(request, after), after);
    const auto refused = later.admit(request, after);
    REQUIRE(std::holds_alternative<refuse_suspect>(refused));
    CHECK(std::get<refuse_suspect>(refused).tester == "e1");
}

// Guards against word that never ends: what a peer tells again comes later than
// what is known, and looked like another loss.
TEST_CASE("an event that is told again is no news") {
    quarantine entry("e0", {});
    quarantine other("e1", {});
    entry.on_connection_lost(request, first, false, start, start);
    const auto lost = *entry.update_on(request, start);
    CHECK(other.merge(lost, start + 5ms));
    entry.on_process_answered(first, start + 2ms, start + 3ms);
    const auto told_again = *other.update_on(request, start + 6ms);
    CHECK_FALSE(entry.merge(told_again, start + 9ms));
    CHECK(entry.may_run_in_company(request, start + 9ms));
    const auto excused = *entry.update_on(request, start + 9ms);
    CHECK(other.merge(excused, start + 10ms));
    CHECK_FALSE(other.merge(lost, start + 20ms));
    CHECK_FALSE(other.merge(excused, start + 20ms));
    CHECK(other.may_run_in_company(request, start + 20ms));
}
