#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/crash_verdict_table.hpp>
#include <waxwingvale/membership/link_plan.hpp>
#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/membership/read_budget.hpp>
#include <waxwingvale/membership/registry_table.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

member_record record_of(const std::string& name, std::uint64_t incarnation,
                        std::uint16_t port = 1) {
    member_record record;
    record.id = {name, incarnation};
    record.addresses.host = "127.0.0.1";
    record.addresses.control_port = port;
    return record;
}

member_table table_of_self() {
    member_table table(record_of("sea-1", 0), {}, start);
    table.start_life(100);
    return table;
}

backend_belief observation(backend_state state, belief_source source,
                           std::uint64_t incarnation, duration after = 0s) {
    return {"slate-1", incarnation, state, source, "sea-1", start + after};
}

registry_record registered(const std::string& name, std::uint64_t revision,
                           bool present = true) {
    return {name, revision, present, {}};
}

// Returns for how many milliseconds a backend server that the platform reports
// as removed stays in the table, at most `limit`, while the platform
// alternately answers for `up` and does not answer for `down`.
std::int64_t removal_delay_with_flapping_platform(duration up, duration down,
                                                  duration limit = 60s) {
    constexpr auto step = 100ms;
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.mark_platform_unreachable(start - 10s);
    duration passed{};
    for (; passed < limit && !table.records().empty(); passed += step) {
        const auto now = start + passed;
        const auto phase = passed % (up + down);
        if (phase == 0ms) {
            table.mark_platform_reachable(now);
            table.apply_list({}, 9, now);
        } else if (phase == up) {
            table.mark_platform_unreachable(now);
        }
        table.tick(now);
    }
    return passed / 1ms;
}

backend_state state_in(const belief_table& table) {
    return to_belief(*table.find("slate-1")).state;
}

} // namespace

TEST_CASE("an empty or outdated platform list removes no members") {
    // The platform's list lags, or is empty after a fault of the platform. If
    // it removed members, callers would lose instances that serve them well.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    table.apply_platform_list({}, start);
    REQUIRE(table.find("pdx-1") != nullptr);
    CHECK(table.find("pdx-1")->life == liveness::alive);
}

TEST_CASE("a suspect member is gone after a bounded time unless it refutes") {
    // An instance loses contact with another one, perhaps through its own
    // fault. The other one has some seconds to refute the suspicion; if it does
    // not, its slots get another owner.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    CHECK(table.accuse("pdx-1", start));
    CHECK(table.find("pdx-1")->life == liveness::suspect);
    SECTION("the member refutes the suspicion") {
        auto update = record_of("pdx-1", 50, 2);
        update.assertion = 1;
        CHECK(table.merge(update, start + 1s));
        table.tick(start + 1h);
        CHECK(table.find("pdx-1")->life == liveness::alive);
    }
    SECTION("the member does not answer") {
        table.tick(start + 2s);
        CHECK(table.find("pdx-1")->life == liveness::suspect);
        table.tick(start + 3s);
        CHECK(table.find("pdx-1")->life == liveness::gone);
    }
}

TEST_CASE("a process that runs in slices notices that a member is gone") {
    // Guards against a dead owner that is kept for ever: the limit began anew
    // with each late wake-up.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    table.accuse("pdx-1", start);
    auto now = start;
    for (int slice = 0; slice < 29; ++slice) {
        now += 1100ms;
        table.forgive_suspicions(1s, now);
        table.tick(now);
        CHECK(table.find("pdx-1")->life == liveness::suspect);
    }
    now += 1100ms;
    table.forgive_suspicions(1s, now);
    table.tick(now);
    CHECK(table.find("pdx-1")->life == liveness::gone);
}

TEST_CASE("a restarted instance replaces its previous incarnation at once") {
    // An instance is replaced by a new one at the same address. Callers whose
    // idempotency keys the previous one held must not be told that the new one
    // knows them.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    SECTION("under the same name") {
        table.merge(record_of("pdx-1", 51, 2), start);
        CHECK(table.find("pdx-1")->id.incarnation == 51);
        CHECK_FALSE(table.merge(record_of("pdx-1", 50, 2), start));
    }
    SECTION("under another name") {
        table.merge(record_of("pdx-9", 51, 2), start);
        CHECK(table.find("pdx-1")->life == liveness::gone);
        CHECK(table.find("pdx-9")->life == liveness::alive);
    }
}

TEST_CASE("an instance whose clock was set back gets a later incarnation") {
    auto table = table_of_self();
    table.merge(record_of("sea-1", 500), start + 1s);
    CHECK(table.self().id.incarnation == 501);
}

TEST_CASE("an instance that was replaced while suspended gives up its role") {
    // A suspended process resumes after another one has taken its name. If both
    // claimed the name, slots would move between them endlessly.
    auto table = table_of_self();
    table.merge(record_of("sea-1", 500), start + 1min);
    CHECK(table.replaced());
    CHECK(table.self().life == liveness::gone);
    CHECK(table.self().id.incarnation == 100);
}

TEST_CASE(
    "a control process that restarts alone keeps the entry's incarnation") {
    member_table table(record_of("sea-1", 0), {}, start);
    auto update = record_of("sea-1", 100);
    update.assertion = 7;
    update.life = liveness::suspect;
    table.merge(update, start);
    table.start_life(100);
    CHECK(table.self().id.incarnation == 100);
    CHECK(table.self().assertion == 8);
    CHECK(table.self().life == liveness::alive);
}

TEST_CASE("leaving is never reset within an incarnation") {
    // A backend server drains. It still passes health checks, and outdated
    // records of it arrive late. Requests sent to it would be cut off when it
    // stops.
    belief_table table(10);
    table.observe(
        observation(backend_state::leaving, belief_source::traffic, 3));
    table.observe(
        observation(backend_state::serving, belief_source::probe, 3, 1s));
    CHECK(state_in(table) == backend_state::leaving);
    belief_record update;
    update.backend_server = "slate-1";
    update.incarnation = 3;
    update.version = 5;
    table.merge(update);
    CHECK(state_in(table) == backend_state::leaving);
    table.observe(
        observation(backend_state::serving, belief_source::traffic, 4, 2s));
    CHECK(state_in(table) == backend_state::serving);
    CHECK_FALSE(table.observe(
        observation(backend_state::dead, belief_source::traffic, 3)));
}

TEST_CASE(
    "only an answer, not a list, marks a dead backend server as serving") {
    belief_table table(10);
    table.observe(
        observation(backend_state::dead, belief_source::traffic, 3, 1s));
    table.observe(observation(backend_state::serving,
                              belief_source::platform_list, 3, 2s));
    CHECK(state_in(table) == backend_state::dead);
    // An answer that was in flight when the server died.
    table.observe(
        observation(backend_state::serving, belief_source::traffic, 3));
    CHECK(state_in(table) == backend_state::dead);
    table.observe(
        observation(backend_state::serving, belief_source::traffic, 3, 3s));
    CHECK(state_in(table) == backend_state::serving);
}

TEST_CASE("the number of records of backend servers is bounded") {
    belief_table table(2);
    for (const auto* name : {"a", "b", "c"}) {
        auto update =
            observation(backend_state::dead, belief_source::traffic, 1);
        update.backend_server = name;
        table.observe(update);
    }
    CHECK(table.records().size() == 2);
    CHECK(table.counters().over_limit == 1);
}

TEST_CASE(
    "two deaths quarantine a request only if it was alone in one of them") {
    // Guards against popular pages being refused everywhere because their
    // requests were in flight on servers that another request crashed.
    crash_verdict_table table({});
    table.add_death({1, "slate-1", 1, false, start});
    table.add_death({2, "slate-1", 1, false, start});
    table.add_death({2, "slate-2", 1, false, start});
    CHECK_FALSE(table.contains(2));
    table.add_death({1, "slate-2", 1, true, start});
    CHECK(table.contains(1));
    CHECK(table.expire(start + 1h));
    CHECK_FALSE(table.contains(1));
}

TEST_CASE("planned links connect all members with few links at each") {
    std::vector<placed_member> members;
    for (unsigned each = 0; each < 320; ++each) {
        const auto centre = each % 8;
        members.push_back({"i-" + std::to_string(each),
                           "dc-" + std::to_string(centre),
                           "region-" + std::to_string(centre % 2)});
    }
    std::map<std::string, std::set<std::string>> links;
    std::size_t most = 0;
    for (const auto& each : members) {
        links[each.name] = plan_links(each.name, members);
        most = std::max(most, links[each.name].size());
    }
    CHECK(most <= 12);
    std::set<std::string> reached = {"i-0"};
    std::vector<std::string> next = {"i-0"};
    unsigned hops = 0;
    for (; reached.size() < members.size() && !next.empty(); ++hops) {
        std::vector<std::string> further;
        for (const auto& from : next) {
            for (const auto& to : links[from]) {
                // Both ends plan the same link.
                CHECK(links[to].count(from) == 1);
                if (reached.insert(to).second) {
                    further.push_back(to);
                }
            }
        }
        next = std::move(further);
    }
    CHECK(reached.size() == members.size());
    CHECK(hops <= 12);
}

TEST_CASE("all readers together stay within the platform's read rate") {
    // After an outage of the platform every instance reads it in the same
    // second. More reads than it can answer would make it fail again.
    constexpr double platform_reads_per_second = 2000;
    for (const std::size_t readers : {1U, 18U, 320U, 900U}) {
        const auto share = read_share_for(platform_reads_per_second, readers);
        std::size_t reads = 0;
        for (std::size_t each = 0; each < readers; ++each) {
            read_budget budget(share, each, start);
            for (auto now = start; now < start + 1s; now += 10ms) {
                if (budget.wait_before_read(now) == 0s) {
                    budget.consume_token(now);
                    ++reads;
                }
            }
        }
        CHECK(static_cast<double>(reads) <= platform_reads_per_second);
    }
}

TEST_CASE("removals are applied although the platform is flapping") {
    // Guards against requests to a server that left long ago: each return of
    // the platform restarted the wait for expired registrations.
    CHECK(removal_delay_with_flapping_platform(1s, 100ms) <= 2600);
    CHECK(removal_delay_with_flapping_platform(1s, 1s) <= 4600);
    CHECK(removal_delay_with_flapping_platform(200ms, 200ms) <= 4600);
    CHECK(removal_delay_with_flapping_platform(10s, 10s) <= 2300);
    // The platform returns briefly and then stays unavailable.
    CHECK(removal_delay_with_flapping_platform(100ms, 1h) <= 10100);
}

TEST_CASE("a single failed read does not delay a removal") {
    // Guards against requests to a server 2 s after it was known to have left.
    // No registration of a live server expires in so short an outage.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.mark_platform_unreachable(start);
    table.mark_platform_reachable(start + 900ms);
    table.apply_change(registered("slate-1", 6, false), start + 950ms);
    CHECK(table.records().empty());
}

TEST_CASE("only time in which the platform answers counts for a held removal") {
    // Guards against all servers becoming unavailable to callers in an outage
    // of the platform that is interrupted only briefly.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.mark_platform_unreachable(start);
    table.mark_platform_reachable(start + 10s);
    table.apply_list({}, 9, start + 10s);
    table.mark_platform_unreachable(start + 11s);
    table.tick(start + 15s);
    CHECK(table.records().size() == 1);
    table.mark_platform_reachable(start + 15s);
    table.apply_change(registered("slate-1", 12), start + 16s);
    table.tick(start + 40s);
    CHECK(table.records().size() == 1);
}

TEST_CASE("a series of short outages counts as a long one") {
    // Guards against all servers becoming unavailable to callers because each
    // of several outages, in which no server could check in, was short.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    auto now = start;
    for (int each = 0; each < 4; ++each) {
        table.mark_platform_unreachable(now);
        now += 1400ms;
        table.mark_platform_reachable(now);
        now += 100ms;
    }
    table.apply_list({}, 9, now);
    CHECK(table.records().size() == 1);
}

TEST_CASE("changes of membership do not delay reads of the platform") {
    // Each change of membership changes this reader's share.
    read_budget budget(read_share_for(2000, 17), 1, start);
    auto now = start;
    while (budget.wait_before_read(now) == 0s) {
        budget.consume_token(now);
    }
    const auto wait = budget.wait_before_read(now);
    for (const auto until = now + wait; now < until; now += 1ms) {
        budget.set_share(
            read_share_for(2000, now.time_since_epoch() / 1ms % 40 + 1), now);
    }
    CHECK(wait <= 250ms);
    CHECK(budget.wait_before_read(now) <= 1ms);
}

TEST_CASE("an instance that alone was refused applies removals at once") {
    // Guards against requests to a server that has left, sent by an instance
    // that the platform refused for a while although it answered the peers.
    const registry_record server{"i-1", 5, true, {}};
    const registry_record gone{"i-1", 9, false, {}};
    registry_table table(10);
    table.apply_change(server, start);
    table.mark_platform_unreachable(start);
    time_point answered_until = start;
    const auto answer_peers_until = [&](time_point end) {
        for (; answered_until < end; answered_until += 500ms) {
            table.platform_answered_other(answered_until);
        }
    };
    SECTION("the platform answered peers all the time") {
        answer_peers_until(start + 10s);
        table.mark_platform_reachable(start + 10s);
        table.apply_change(gone, start + 10s);
        CHECK(table.records().empty());
    }
    SECTION("an outage ended long ago") {
        answered_until = start + 5s;
        answer_peers_until(start + 10s);
        table.mark_platform_reachable(start + 10s);
        table.apply_change(gone, start + 10s);
        CHECK(table.records().empty());
    }
    SECTION("an outage ended just before, for a peer") {
        answered_until = start + 5s;
        answer_peers_until(start + 6s);
        table.mark_platform_reachable(start + 6s);
        table.apply_change(gone, start + 6s);
        table.tick(start + 7s);
        CHECK(table.records().size() == 1);
        table.tick(start + 7300ms);
        CHECK(table.records().empty());
    }
}

TEST_CASE("the newest record of an evacuation applies whatever its origin") {
    // Guards against requests into an evacuated data centre, and against a data
    // centre left unused after its evacuation was revoked, because records
    // arrive late or from a peer.
    registry_table table(10);
    CHECK(table.merge(make_evacuation_record("boi", 5), start));
    CHECK_FALSE(table.merge(make_evacuation_record("boi", 5), start + 1s));
    REQUIRE(table.evacuations().size() == 1);
    CHECK(table.evacuations()[0] == evacuation{"boi", 5, start});
    auto revoked = make_evacuation_record("boi", 7);
    revoked.present = false;
    table.merge(revoked, start + 2s);
    CHECK(table.evacuations().empty());
    CHECK_FALSE(table.merge(make_evacuation_record("boi", 6), start + 3s));
    CHECK(table.evacuations().empty());
    CHECK(table.merge(make_evacuation_record("boi", 8), start + 4s));
    CHECK(table.evacuations()[0] == evacuation{"boi", 8, start + 4s});
}

TEST_CASE("a complete list without an evacuation ends it at once") {
    // Registrations that expired during an outage of the platform are kept for
    // a while. If evacuations were kept too, one that was revoked meanwhile
    // would leave a data centre unused.
    registry_table table(10);
    table.merge(make_evacuation_record("boi", 5), start);
    table.merge(registered("slate-1", 6), start);
    table.mark_platform_unreachable(start);
    table.mark_platform_reachable(start + 5s);
    table.apply_list({}, 9, start + 5s);
    CHECK(table.evacuations().empty());
    CHECK(table.records().size() == 1);
}

TEST_CASE("an evacuation is accepted although the table is full of servers") {
    // Guards against requests into an evacuated data centre when the registry
    // is full.
    registry_table table(2);
    table.merge(registered("slate-1", 1), start);
    table.merge(registered("slate-2", 2), start);
    CHECK_FALSE(table.merge(registered("slate-3", 3), start));
    CHECK(table.merge(make_evacuation_record("boi", 4), start));
    CHECK(table.evacuations().size() == 1);
}

TEST_CASE("tables that differ in an evacuation have different fingerprints") {
    // Guards against an instance that missed an evacuation and considers its
    // table equal to that of its peers.
    registry_table one(10);
    registry_table other(10);
    for (auto* each : {&one, &other}) {
        each->merge(registered("slate-1", 1), start);
    }
    one.merge(make_evacuation_record("boi", 4), start);
    CHECK(one.fingerprint() != other.fingerprint());
    bucket_set all;
    all.set();
    for (const auto& record : one.in_buckets(all)) {
        other.merge(record, start + 1s);
    }
    CHECK(one.fingerprint() == other.fingerprint());
    CHECK(other.evacuations().size() == 1);
}

TEST_CASE("a list in parts is in force part by part, its gaps at the end") {
    // Guards against a leaving server that is used for as long as a long list
    // is read, and against servers that are gone with each part that lacks
    // them.
    registry_table table(10);
    const auto entry = [](const std::string& name, std::uint64_t revision) {
        registry_record record{name, revision, true, {}};
        record.entry.leaving = revision > 3;
        return record;
    };
    table.apply_list({entry("a", 1), entry("b", 2), entry("c", 3)}, 3, start);
    table.begin_list(start);
    table.add_listed(entry("a", 5), start);
    CHECK(table.records().at("a").entry.leaving);
    CHECK(table.records().size() == 3);
    table.add_listed(entry("c", 3), start);
    table.end_list(6, start);
    CHECK(table.records().count("b") == 0);
    CHECK(table.records().count("c") == 1);
    table.begin_list(start);
    table.add_listed(entry("a", 5), start);
    table.begin_list(start);
    table.add_listed(entry("c", 3), start);
    table.end_list(7, start);
    CHECK(table.records().count("a") == 0);
}

TEST_CASE("removals of servers that nobody knew are bounded") {
    // Guards against memory that another program's entries fill.
    registry_table table(10);
    table.merge({"known", 1, true, {}}, start);
    for (int i = 0; i < 1000; ++i) {
        table.merge({"other-" + std::to_string(i), 2, false, {}}, start);
    }
    CHECK(table.take_changes().size() <= 11);
    table.merge({"known", 3, false, {}}, start);
    CHECK(table.records().empty());
    CHECK_FALSE(table.merge({"known", 2, true, {}}, start));
}

TEST_CASE("reads are quicker while there is much to read, within the share") {
    // Guards against a long list that takes its time, in which nothing that is
    // behind its first pages is known.
    const auto share = read_share_for(2000, 12);
    CHECK(share.burst + share.hurried_per_second <= 2000 / 2. / 12);
    CHECK(share.hurried_per_second > 50);
    read_budget budget(share, 1, start);
    const auto reads_in_two_seconds = [&](time_point from) {
        unsigned reads = 0;
        for (auto now = from; now < from + 2s; now += 1ms) {
            if (budget.wait_before_read(now) == 0s) {
                budget.consume_token(now);
                ++reads;
            }
        }
        return reads;
    };
    CHECK(reads_in_two_seconds(start) <= 21);
    budget.set_hurried(true, start + 2s);
    CHECK(reads_in_two_seconds(start + 2s) > 100);
    budget.set_hurried(false, start + 4s);
    CHECK(reads_in_two_seconds(start + 4s) <= 21);
    const auto scarce = read_share_for(10, 12);
    CHECK(scarce.hurried_per_second <= scarce.per_second);
}

TEST_CASE("a full registry has room for the servers that are routed to") {
    // Guards against another program's registrations that leave callers without
    // backend servers.
    registry_table table(10);
    table.set_services({"used"});
    const auto entry = [](const std::string& name, const char* service) {
        registry_record record{name, 1, true, {}};
        record.entry.service = service;
        return record;
    };
    for (int i = 0; i < 20; ++i) {
        table.merge(entry("a-" + std::to_string(i), "other"), start);
    }
    CHECK(table.records().size() == 10);
    for (int i = 0; i < 20; ++i) {
        table.merge(entry("b-" + std::to_string(i), "used"), start);
    }
    CHECK(table.records().size() == 10);
    CHECK(table.records().count("b-0") == 1);
    CHECK(table.records().count("b-9") == 1);
    CHECK(table.records().count("b-10") == 0);
    CHECK_FALSE(table.merge(entry("a-99", "other"), start));
    // Full tables with the same records have the same fingerprint.
    registry_table same(10);
    for (const auto& each : table.records()) {
        same.merge(each.second, start);
    }
    CHECK(same.fingerprint() == table.fingerprint());
}
