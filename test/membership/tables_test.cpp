#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/link_plan.hpp>
#include <waxwingvale/membership/member_table.hpp>
#include <waxwingvale/membership/quarantine_table.hpp>
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

backend_belief seen(backend_state state, belief_source source,
                    std::uint64_t incarnation, duration after = 0s) {
    return {"slate-1", incarnation, state, source, "sea-1", start + after};
}

registry_record registered(const std::string& name, std::uint64_t revision,
                           bool present = true) {
    return {name, revision, present, {}};
}

// How many milliseconds a backend server that the platform says is gone stays
// in the table, at most `limit`, while the platform answers for `up` and is
// away for `down` in turn.
std::int64_t kept_while_platform_flaps(duration up, duration down,
                                       duration limit = 60s) {
    constexpr auto step = 100ms;
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.platform_lost(start - 10s);
    duration passed{};
    for (; passed < limit && !table.records().empty(); passed += step) {
        const auto now = start + passed;
        const auto phase = passed % (up + down);
        if (phase == 0ms) {
            table.platform_returned(now);
            table.take_list({}, 9, now);
        } else if (phase == up) {
            table.platform_lost(now);
        }
        table.tick(now);
    }
    return passed / 1ms;
}

backend_state state_in(const belief_table& table) {
    return to_belief(*table.find("slate-1")).state;
}

} // namespace

TEST_CASE("an empty or old list of the platform forgets nobody") {
    // The platform's list lags, or is empty after its own fault. Were members
    // dropped with it, callers would lose instances that serve them well.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    table.take_platform_list({}, start);
    REQUIRE(table.find("pdx-1") != nullptr);
    CHECK(table.find("pdx-1")->life == liveness::alive);
}

TEST_CASE("silence moves ownership after a bounded time, unless refuted") {
    // One instance loses another, perhaps only by its own fault. The other has
    // some seconds to say that it lives; if it does not, its slots go over.
    auto table = table_of_self();
    table.merge(record_of("pdx-1", 50, 2), start);
    CHECK(table.accuse("pdx-1", start));
    CHECK(table.find("pdx-1")->life == liveness::suspect);
    SECTION("it refutes") {
        auto word = record_of("pdx-1", 50, 2);
        word.assertion = 1;
        CHECK(table.merge(word, start + 1s));
        table.tick(start + 1h);
        CHECK(table.find("pdx-1")->life == liveness::alive);
    }
    SECTION("it says nothing") {
        table.tick(start + 2s);
        CHECK(table.find("pdx-1")->life == liveness::suspect);
        table.tick(start + 3s);
        CHECK(table.find("pdx-1")->life == liveness::gone);
    }
}

TEST_CASE("a restarted instance replaces its former life at once") {
    // An instance is replaced by a new one at the same address. Callers that
    // hold keys of the former must not be told that the new one knows them.
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

TEST_CASE("a clock set back does not make a new life look like an old one") {
    auto table = table_of_self();
    table.merge(record_of("sea-1", 500), start + 1s);
    CHECK(table.self().id.incarnation == 501);
}

TEST_CASE("an instance that was replaced while it slept stands down") {
    // A paused process wakes after another one has taken its name. Both
    // asserting themselves would pull the slots to and fro without end.
    auto table = table_of_self();
    table.merge(record_of("sea-1", 500), start + 1min);
    CHECK(table.replaced());
    CHECK(table.self().life == liveness::gone);
    CHECK(table.self().id.incarnation == 100);
}

TEST_CASE("control alone restarted goes on with the entry's life") {
    member_table table(record_of("sea-1", 0), {}, start);
    auto word = record_of("sea-1", 100);
    word.assertion = 7;
    word.life = liveness::suspect;
    table.merge(word, start);
    table.start_life(100);
    CHECK(table.self().id.incarnation == 100);
    CHECK(table.self().assertion == 8);
    CHECK(table.self().life == liveness::alive);
}

TEST_CASE("leaving is never taken back within an incarnation") {
    // A backend server drains; its health still looks well and old word of it
    // arrives late. Work sent to it would be cut off when it stops.
    belief_table table(10);
    table.observe(seen(backend_state::leaving, belief_source::traffic, 3));
    table.observe(seen(backend_state::serving, belief_source::probe, 3, 1s));
    CHECK(state_in(table) == backend_state::leaving);
    belief_record word;
    word.backend_server = "slate-1";
    word.incarnation = 3;
    word.version = 5;
    table.merge(word);
    CHECK(state_in(table) == backend_state::leaving);
    table.observe(seen(backend_state::serving, belief_source::traffic, 4, 2s));
    CHECK(state_in(table) == backend_state::serving);
    CHECK_FALSE(
        table.observe(seen(backend_state::dead, belief_source::traffic, 3)));
}

TEST_CASE("a dead backend server comes back by an answer, not by a list") {
    belief_table table(10);
    table.observe(seen(backend_state::dead, belief_source::traffic, 3, 1s));
    table.observe(
        seen(backend_state::serving, belief_source::platform_list, 3, 2s));
    CHECK(state_in(table) == backend_state::dead);
    // An answer that was under way when it died.
    table.observe(seen(backend_state::serving, belief_source::traffic, 3));
    CHECK(state_in(table) == backend_state::dead);
    table.observe(seen(backend_state::serving, belief_source::traffic, 3, 3s));
    CHECK(state_in(table) == backend_state::serving);
}

TEST_CASE("beliefs are bounded") {
    belief_table table(2);
    for (const auto* name : {"a", "b", "c"}) {
        auto word = seen(backend_state::dead, belief_source::traffic, 1);
        word.backend_server = name;
        table.observe(word);
    }
    CHECK(table.records().size() == 2);
    CHECK(table.counters().over_limit == 1);
}

TEST_CASE("two deaths condemn a request only if one of them was its alone") {
    // A request crashes whatever runs it, and others share the server when it
    // dies. Condemned with it, popular pages would be refused everywhere.
    quarantine_table table({});
    table.add_death({1, "slate-1", 1, false, start});
    table.add_death({2, "slate-1", 1, false, start});
    table.add_death({2, "slate-2", 1, false, start});
    CHECK_FALSE(table.contains(2));
    table.add_death({1, "slate-2", 1, true, start});
    CHECK(table.contains(1));
    CHECK(table.expire(start + 1h));
    CHECK_FALSE(table.contains(1));
}

TEST_CASE("planned links join all members, with few at each") {
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

TEST_CASE("all readers together stay within what the platform answers") {
    // The platform comes back after an outage and every instance reads it in
    // the same second. More than it answers would bring it down again.
    constexpr double platform_reads_per_second = 2000;
    for (const std::size_t readers : {1U, 18U, 320U, 900U}) {
        const auto share = share_of(platform_reads_per_second, readers);
        std::size_t reads = 0;
        for (std::size_t each = 0; each < readers; ++each) {
            read_budget budget(share, each, start);
            for (auto now = start; now < start + 1s; now += 10ms) {
                if (budget.wait_before_read(now) == 0s) {
                    budget.take(now);
                    ++reads;
                }
            }
        }
        CHECK(static_cast<double>(reads) <= platform_reads_per_second);
    }
}

TEST_CASE("a platform that comes and goes does not keep servers that left") {
    // Guards against requests to a server that left long ago: each return of
    // the platform began the wait for lapsed entries anew.
    CHECK(kept_while_platform_flaps(1s, 100ms) <= 2600);
    CHECK(kept_while_platform_flaps(1s, 1s) <= 4600);
    CHECK(kept_while_platform_flaps(200ms, 200ms) <= 4600);
    CHECK(kept_while_platform_flaps(10s, 10s) <= 2300);
    // It comes for a moment and stays away.
    CHECK(kept_while_platform_flaps(100ms, 1h) <= 10100);
}

TEST_CASE("a read that fails once does not put off a removal") {
    // Guards against requests to a server 2 s after its leave was known. No
    // entry of a living server lapses so soon.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.platform_lost(start);
    table.platform_returned(start + 900ms);
    table.take_change(registered("slate-1", 6, false), start + 950ms);
    CHECK(table.records().empty());
}

TEST_CASE("entries that lapsed have the platform's own time to come back") {
    // Guards against all servers being taken from callers by an outage of the
    // platform that ends for a moment only.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    table.platform_lost(start);
    table.platform_returned(start + 10s);
    table.take_list({}, 9, start + 10s);
    table.platform_lost(start + 11s);
    table.tick(start + 15s);
    CHECK(table.records().size() == 1);
    table.platform_returned(start + 15s);
    table.take_change(registered("slate-1", 12), start + 16s);
    table.tick(start + 40s);
    CHECK(table.records().size() == 1);
}

TEST_CASE("short absences in a row are a long one") {
    // Guards against all servers being taken from callers because each gap in
    // which no server could check in was short.
    registry_table table(10);
    table.merge(registered("slate-1", 5), start);
    auto now = start;
    for (int each = 0; each < 4; ++each) {
        table.platform_lost(now);
        now += 1400ms;
        table.platform_returned(now);
        now += 100ms;
    }
    table.take_list({}, 9, now);
    CHECK(table.records().size() == 1);
}

TEST_CASE("members that come and go do not put off reading the platform") {
    // Each of them changes this reader's share.
    read_budget budget(share_of(2000, 17), 1, start);
    auto now = start;
    while (budget.wait_before_read(now) == 0s) {
        budget.take(now);
    }
    const auto wait = budget.wait_before_read(now);
    for (const auto until = now + wait; now < until; now += 1ms) {
        budget.set_share(share_of(2000, now.time_since_epoch() / 1ms % 40 + 1),
                         now);
    }
    CHECK(wait <= 250ms);
    CHECK(budget.wait_before_read(now) <= 1ms);
}

TEST_CASE("who was turned away alone carries removals out at once") {
    // Guards against requests to a server that has left, sent by instances that
    // the platform had refused for a while although it answered their peers.
    const registry_record server{"i-1", 5, true, {}};
    const registry_record gone{"i-1", 9, false, {}};
    registry_table table(10);
    table.take_change(server, start);
    table.platform_lost(start);
    time_point heard = start;
    const auto hear_until = [&](time_point end) {
        for (; heard < end; heard += 500ms) {
            table.platform_answered_other(heard);
        }
    };
    SECTION("peers were answered all the while") {
        hear_until(start + 10s);
        table.platform_returned(start + 10s);
        table.take_change(gone, start + 10s);
        CHECK(table.records().empty());
    }
    SECTION("the platform was away, and has been back for long") {
        heard = start + 5s;
        hear_until(start + 10s);
        table.platform_returned(start + 10s);
        table.take_change(gone, start + 10s);
        CHECK(table.records().empty());
    }
    SECTION("the platform was away, and answered a peer just before") {
        heard = start + 5s;
        hear_until(start + 6s);
        table.platform_returned(start + 6s);
        table.take_change(gone, start + 6s);
        table.tick(start + 7s);
        CHECK(table.records().size() == 1);
        table.tick(start + 7300ms);
        CHECK(table.records().empty());
    }
}

TEST_CASE("the newest word of an evacuation holds, whoever brings it") {
    // Guards against requests into an evacuated data centre, or none after it
    // was taken back, because word came late or by a peer.
    registry_table table(10);
    CHECK(table.merge(evacuation_record("boi", 5), start));
    CHECK_FALSE(table.merge(evacuation_record("boi", 5), start + 1s));
    REQUIRE(table.evacuations().size() == 1);
    CHECK(table.evacuations()[0] == evacuation{"boi", 5, start});
    auto taken_back = evacuation_record("boi", 7);
    taken_back.present = false;
    table.merge(taken_back, start + 2s);
    CHECK(table.evacuations().empty());
    CHECK_FALSE(table.merge(evacuation_record("boi", 6), start + 3s));
    CHECK(table.evacuations().empty());
    CHECK(table.merge(evacuation_record("boi", 8), start + 4s));
    CHECK(table.evacuations()[0] == evacuation{"boi", 8, start + 4s});
}

TEST_CASE("an evacuation ends by a whole list that lacks it, at once") {
    // Entries of servers that lapsed while the platform was away are kept for
    // a while. Kept too, an order that was taken back meanwhile would leave a
    // data centre unused.
    registry_table table(10);
    table.merge(evacuation_record("boi", 5), start);
    table.merge(registered("slate-1", 6), start);
    table.platform_lost(start);
    table.platform_returned(start + 5s);
    table.take_list({}, 9, start + 5s);
    CHECK(table.evacuations().empty());
    CHECK(table.records().size() == 1);
}

TEST_CASE("an order finds room among however many servers") {
    // Guards against requests into an evacuated data centre when somebody has
    // filled the registry.
    registry_table table(2);
    table.merge(registered("slate-1", 1), start);
    table.merge(registered("slate-2", 2), start);
    CHECK_FALSE(table.merge(registered("slate-3", 3), start));
    CHECK(table.merge(evacuation_record("boi", 4), start));
    CHECK(table.evacuations().size() == 1);
}

TEST_CASE("tables that differ in an evacuation differ in their numbers") {
    // Guards against an instance that missed an order and takes its table for
    // its peers'.
    registry_table one(10);
    registry_table other(10);
    for (auto* each : {&one, &other}) {
        each->merge(registered("slate-1", 1), start);
    }
    one.merge(evacuation_record("boi", 4), start);
    CHECK(one.fingerprint() != other.fingerprint());
    bucket_set all;
    all.set();
    for (const auto& record : one.in_buckets(all)) {
        other.merge(record, start + 1s);
    }
    CHECK(one.fingerprint() == other.fingerprint());
    CHECK(other.evacuations().size() == 1);
}
