#include <catch2/catch.hpp>

#include "platform/growing_routes.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using nlohmann::json;

namespace {

// The bound within which a confirmed change is in force everywhere.
constexpr duration in_force_within = 2s;

// Four instances on a store that comes back from a copy.
struct restored_store : growing_routes {
    restored_store() { go_on(1500ms); }

    std::uint64_t write_server(const std::string& zone, const char* state,
                               unsigned sequence) {
        auto entry = json::parse(entry_of(zone));
        entry["State"] = state;
        entry["Sequence"] = sequence;
        return store.put("servers/i-" + zone, entry.dump());
    }

    // The store is away for a moment and comes back without what it had later.
    void come_back_from(const stand_in_store::copy& former, duration away) {
        store.set_silent(true);
        go_on(away);
        store.come_back_from(former);
        store.set_silent(false);
    }
};

} // namespace

TEST_CASE("a change is in force in time though the store lost its revisions") {
    // Guards against a configuration that is taken for older than one that the
    // store has lost, since it was given a lower revision.
    const auto away = GENERATE(100ms, 1700ms);
    const bool reading_is_taken_over = GENERATE(false, true);
    restored_store f;
    const auto former = f.store.take_copy();
    for (unsigned version = 2; version <= 5; ++version) {
        f.write_configuration(version);
    }
    REQUIRE(f.all_know_within(5, in_force_within));
    const auto lost = f.store.revision();
    f.come_back_from(former, away);
    if (reading_is_taken_over) {
        for (std::size_t number : {0U, 1U, 2U}) {
            f.restart(number);
        }
    }
    f.go_on(1s);
    REQUIRE(f.write_configuration(7) < lost);
    CHECK(f.all_know_within(7, in_force_within));
}

TEST_CASE("what is in force stays while the store holds an older copy") {
    // Guards against instances, one just started among them, that go back to a
    // configuration which the store has from before.
    restored_store f;
    const auto former = f.store.take_copy();
    f.write_configuration(2);
    f.write_configuration(4);
    REQUIRE(f.all_know_within(4, in_force_within));
    f.come_back_from(former, 300ms);
    f.restart(3);
    f.go_on(1s);
    for (int i = 0; i < 10; ++i) {
        CHECK(f.all_know(4));
        f.go_on(100ms);
    }
    f.write_configuration(4); // written again
    f.write_configuration(5);
    CHECK(f.all_know_within(5, in_force_within));
}

TEST_CASE("a server that leaves after the store came back gets nothing more") {
    // Guards against a leaving that is taken for older than what the store has
    // lost of the same server, or that nobody reads, since the store's
    // revisions passed the lost ones before anybody asked it again.
    const bool passes_lost = GENERATE(false, true);
    restored_store f;
    const auto former = f.store.take_copy();
    f.write_server("north", "ready", 5);
    f.write_server("south", "ready", 5);
    for (unsigned version = 2; version <= 5; ++version) {
        f.write_configuration(version);
    }
    REQUIRE(f.all_know_within(5, in_force_within));
    const auto lost = f.store.revision();
    f.store.set_silent(true);
    f.go_on(300ms);
    f.store.come_back_from(former);
    f.write_server("north", "draining", 7);
    unsigned version = 6;
    while (passes_lost && f.store.revision() <= lost) {
        f.write_configuration(version++);
    }
    f.store.set_silent(false);
    f.go_on(in_force_within);
    f.count_for(500ms);
    CHECK(f.requests_in("north") == 0);
    CHECK(f.requests_in("south") > 0);
}

TEST_CASE("a leaving that the store has lost is not forgotten") {
    // Guards against requests to a leaving server whose entry in the store is
    // from before it said so, also once the reader has been restarted.
    const bool restarts = GENERATE(false, true);
    restored_store f;
    const auto former = f.store.take_copy();
    f.write_server("north", "draining", 3);
    f.go_on(in_force_within);
    f.come_back_from(former, 300ms);
    if (restarts) {
        for (std::size_t number : {0U, 1U}) {
            f.restart(number);
        }
        f.go_on(1s);
    }
    f.count_for(1s);
    CHECK(f.requests_in("north") == 0);
    CHECK(f.requests_in("south") > 0);
    f.write_server("north", "ready", 4); // it stays after all
    f.go_on(in_force_within);
    f.count_for(500ms);
    CHECK(f.requests_in("north") > 0);
}

TEST_CASE("a server of which the store has lost all is used until it is gone") {
    // Guards against callers that are refused while the servers that came last
    // have not yet written their entries again, and against one that is used
    // for good although it never does.
    restored_store f;
    const auto entry = f.entry_of("north");
    f.store.remove("servers/i-north");
    f.go_on(in_force_within);
    f.count_for(300ms);
    REQUIRE(f.requests_in("north") == 0);
    const auto former = f.store.take_copy();
    f.store.put("servers/i-north", entry);
    f.go_on(1s);
    f.count_for(500ms);
    REQUIRE(f.requests_in("north") > 0);
    f.come_back_from(former, 100ms);
    f.go_on(700ms);
    f.count_for(500ms);
    CHECK(f.requests_in("north") > 0);
    f.go_on(4s);
    f.count_for(500ms);
    CHECK(f.requests_in("north") == 0);
}

TEST_CASE("answers of the older store that come late change nothing") {
    // Guards against a list from before the store came back, which an instance
    // that takes over reading gets after its peers have read the later store.
    restored_store f;
    const auto former = f.store.take_copy();
    f.write_configuration(2);
    f.write_server("north", "ready", 2);
    REQUIRE(f.all_know_within(2, in_force_within));
    f.store.set_silent(true);
    f.go_on(1500ms); // all ask by now
    f.store.keep_answers(true);
    f.store.set_silent(false);
    f.go_on(300ms);
    f.store.come_back_from(former);
    f.write_server("north", "draining", 3);
    f.write_configuration(4);
    f.store.release_answers();
    f.go_on(in_force_within);
    CHECK(f.all_know(4));
    f.count_for(500ms);
    CHECK(f.requests_in("north") == 0);
    CHECK(f.requests_in("south") > 0);
}
