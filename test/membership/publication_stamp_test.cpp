#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include <waxwingvale/membership/registry_table.hpp>

#include "io/exchange_codec.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::membership;

namespace {

const time_point start{1h};

publication_state written(std::uint64_t era, std::uint64_t revision,
                          std::uint64_t writes) {
    return {{revision, era, 0, writes}, true};
}

publication_state removed(std::uint64_t era, std::uint64_t revision,
                          std::uint64_t writes) {
    return {{revision, era, 0, writes}, false};
}

registry_record record_of(const publication_state& state) {
    registry_record record;
    record.name = "i-1";
    record.stamp = state.stamp;
    record.present = state.present;
    record.entry.slots = static_cast<unsigned>(state.stamp.writes);
    return record;
}

// A server's entry on a platform that came back from a copy once: the states
// that anybody may have read, and the one that holds in the end.
struct entry_history {
    std::vector<publication_state> states;
    publication_state last;
};

entry_history make_history(unsigned before, unsigned lost, unsigned after,
                           bool lost_removal, bool ends_removed) {
    entry_history made;
    std::uint64_t revision = 10;
    std::uint64_t writes = 0;
    for (unsigned i = 0; i < before; ++i) {
        made.states.push_back(written(1, ++revision, ++writes));
    }
    const auto copied = made.states.back().stamp;
    auto lost_revision = revision;
    for (unsigned i = 0; i < lost; ++i) {
        made.states.push_back(written(1, ++lost_revision, ++writes));
    }
    if (lost_removal) {
        made.states.push_back(removed(1, ++lost_revision, writes));
    }
    // The list of the later era, and what is written in it.
    made.states.push_back(written(2, copied.revision, copied.writes));
    for (unsigned i = 0; i < after; ++i) {
        made.states.push_back(written(2, ++revision, ++writes));
    }
    if (ends_removed) {
        made.states.push_back(removed(2, ++revision, writes));
    }
    made.last = made.states.back();
    return made;
}

} // namespace

TEST_CASE("revisions order an entry within an era, the writer's count across") {
    CHECK(is_newer(written(1, 6, 2), written(1, 5, 9)));
    // What the store lost is not undone by what it has from before,
    CHECK_FALSE(is_newer(written(2, 20, 3), written(1, 45, 30)));
    CHECK(is_newer(written(1, 45, 30), written(2, 20, 3)));
    // and does not hold up what is written next.
    CHECK(is_newer(written(2, 38, 31), written(1, 45, 30)));
    // A removal that was lost stays, and one of the later era counts.
    CHECK_FALSE(is_newer(written(2, 20, 3), removed(1, 50, 3)));
    CHECK(is_newer(written(2, 38, 4), removed(1, 50, 3)));
    CHECK(is_newer(removed(2, 38, 3), written(1, 45, 30)));
    // The counts of another start begin anew.
    CHECK(is_newer({{38, 2, 1002, 1}, true}, {{45, 1, 1001, 30}, true}));
}

TEST_CASE("of two states of an entry at most one is newer") {
    std::vector<publication_state> all;
    for (std::uint64_t era = 0; era < 3; ++era) {
        for (std::uint64_t revision = 1; revision < 4; ++revision) {
            for (std::uint64_t writes = 0; writes < 3; ++writes) {
                all.push_back(written(era, revision, writes));
                all.push_back(removed(era, revision, writes));
            }
        }
    }
    for (const auto& a : all) {
        for (const auto& b : all) {
            CHECK_FALSE((is_newer(a, b) && is_newer(b, a)));
        }
    }
}

TEST_CASE("in any order what is read of an entry ends in its last state") {
    // Guards against instances that differ for good after a loss, since they
    // heard of the same states in another order.
    const bool holds = rc::check("as by trying orders", [] {
        const auto history =
            make_history(*rc::gen::inRange(1U, 4U), *rc::gen::inRange(0U, 4U),
                         *rc::gen::inRange(1U, 4U), *rc::gen::arbitrary<bool>(),
                         *rc::gen::arbitrary<bool>());
        auto states = history.states;
        std::shuffle(states.begin(), states.end(),
                     std::mt19937(*rc::gen::arbitrary<unsigned>()));
        registry_table table(10);
        for (const auto& each : states) {
            table.merge(record_of(each), start);
        }
        const auto known = table.records().find("i-1");
        RC_ASSERT((known != table.records().end()) == history.last.present);
        if (history.last.present) {
            RC_ASSERT(known->second.stamp == history.last.stamp);
        }
    });
    CHECK(holds);
}

TEST_CASE("an entry that a later era lacks is removed only after a while") {
    // Guards against a server that is dropped while the store, just back from
    // a copy, does not have its entry again yet.
    registry_table table(10);
    table.apply_list({record_of(written(1, 45, 2))}, {50, 1}, start);
    table.apply_list({}, {30, 2}, start + 1s);
    CHECK(table.records().size() == 1);
    table.tick(start + 2s);
    CHECK(table.records().size() == 1);
    SECTION("it is written again") {
        table.apply_change(record_of(written(2, 33, 3)), start + 2s);
        table.tick(start + 20s);
        CHECK(table.records().size() == 1);
    }
    SECTION("it is not") {
        table.tick(start + 4s);
        CHECK(table.records().empty());
    }
    SECTION("another reader lists it again meanwhile") {
        table.apply_list({}, {31, 2}, start + 3s);
        table.tick(start + 4s);
        CHECK(table.records().empty());
    }
}

TEST_CASE("a server that left is not used again by an entry from before") {
    // Guards against requests to a server whose removal the store has lost: its
    // entry there may bear a higher count than the last that was read.
    registry_table table(10);
    table.apply_list({record_of(written(1, 20, 3))}, {20, 1}, start);
    table.apply_change(record_of(removed(1, 50, 0)), start);
    table.apply_list({record_of(written(2, 20, 48))}, {30, 2}, start + 1s);
    CHECK(table.records().empty());
    SECTION("its removal is written again") {
        table.apply_change(record_of(removed(2, 31, 0)), start + 2s);
        table.tick(start + 20s);
        CHECK(table.records().empty());
    }
    SECTION("it is there after all") {
        table.tick(start + 4s);
        CHECK(table.records().size() == 1);
    }
}

TEST_CASE("a list of an older era that comes late removes nothing") {
    registry_table table(10);
    table.merge(record_of(written(2, 12, 2)), start);
    table.apply_list({}, {90, 1}, start);
    table.tick(start + 20s);
    CHECK(table.records().size() == 1);
}

TEST_CASE("an order to evacuate that was taken back and lost waits") {
    // Guards against a data centre that is emptied again by an order from
    // before, and against one that the operator gives again and nobody obeys.
    registry_table table(10);
    table.merge(make_evacuation_record("boi", {5, 1}), start);
    auto revoked = make_evacuation_record("boi", {9, 1});
    revoked.present = false;
    table.merge(revoked, start);
    table.apply_list({make_evacuation_record("boi", {5, 2})}, {6, 2}, start);
    CHECK(table.evacuations().empty());
    SECTION("the operator takes it back again") {
        revoked.stamp = {7, 2};
        table.apply_change(revoked, start + 1s);
        table.tick(start + 20s);
        CHECK(table.evacuations().empty());
    }
    SECTION("the store still has it when all has been written again") {
        table.tick(start + 4s);
        CHECK(table.evacuations().size() == 1);
    }
    SECTION("the operator gives it again") {
        table.apply_change(make_evacuation_record("boi", {7, 2}), start + 1s);
        CHECK(table.evacuations().size() == 1);
    }
}

TEST_CASE("stamps reach other instances as they are") {
    records_message message;
    message.registry = {record_of(written(2, 38, 31)),
                        record_of(removed(1, 50, 3)),
                        make_evacuation_record("boi", {5, 2})};
    const auto bytes = io::encode_exchange(message, start);
    const auto read = io::decode_exchange(
        io::kind_of(exchange_message(message)), bytes, start);
    const auto& records = std::get<records_message>(read.value()).registry;
    REQUIRE(records.size() == 3);
    for (std::size_t i = 0; i < records.size(); ++i) {
        CHECK(records[i].stamp == message.registry[i].stamp);
    }
}
