#include <catch2/catch.hpp>

#include <waxwingvale/membership/registry_table.hpp>

#include "platform/sample_configuration.hpp"
#include "platform/store_state.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

const store_dialect dialect;

io::http_response answer(unsigned status, const std::string& body = "") {
    return {status, {}, body};
}

store_state sample_state() {
    return store_state(sample_deployment());
}

membership::registry_record record_of(const std::string& entry) {
    const auto fact = sample_state().decode({"servers/i-7", entry, 12, {}});
    REQUIRE(fact.has_value());
    return std::get<membership::registry_record>(fact.value());
}

} // namespace

TEST_CASE("the store is asked by prefix, and goes on after a key") {
    CHECK(dialect.list_target("", "") == "/-/kv-range?PathPrefix=");
    CHECK(dialect.list_target("servers/", "servers/i 1") ==
          "/-/kv-range?PathPrefix=servers/&after=servers/i%201");
    CHECK(dialect.watch_target("", 411, 600ms) ==
          "/-/kv-watch?PathPrefix=&after=411&WaitMs=600");
}

TEST_CASE("a page of items is read with the store's revision") {
    const auto page = dialect.read_list("", answer(200, R"({"items": [
            {"Key": "my/leader", "Value": "bm9kZS0x", "Revision": 412,
             "Created": 400, "Lease": 77120},
            {"Key": "my/b", "Value": "YQ==", "Revision": 3},
            {"Key": "my/c", "Value": "", "Revision": 4}],
            "HasMore": true, "AsOf": 530})"));
    REQUIRE(page.has_value());
    CHECK(page.value().more);
    CHECK(page.value().revision == 530);
    REQUIRE(page.value().items.size() == 3);
    CHECK(page.value().items[0].value == "node-1");
    CHECK(page.value().items[0].revision == 412);
    CHECK(page.value().items[1].value == "a");
    CHECK(page.value().items[2].value.empty());
}

TEST_CASE("a value is read the same with escapes as without") {
    const auto page = dialect.read_list(
        "", {200,
             {},
             R"({"items":[{"Key":"a","Value":"Pz8/","Revision":1},)"
             R"({"Key":"b","Value":"Pz8\/","Revision":1},)"
             R"({"Key":"c","Value":"Pz8\u002f","Revision":1},)"
             R"({"Key":"d","Value":"Pz8\\","Revision":1}],)"
             R"("HasMore":false,"AsOf":1})"});
    REQUIRE(page);
    const auto& items = page.value().items;
    REQUIRE(items.size() == 4);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(items[i].value == "???");
        CHECK(items[i].problem.empty());
    }
    CHECK_FALSE(items[3].problem.empty());
}

TEST_CASE("changes tell what is written and what is gone") {
    const auto changes = dialect.read_watch("", 411, answer(200, R"({"events": [
            {"Key": "a", "Value": "eA==", "Revision": 412},
            {"Key": "b", "Revision": 413, "Tombstone": true}],
            "AsOf": 413})"));
    REQUIRE(changes.has_value());
    CHECK(changes.value().revision == 413);
    REQUIRE(changes.value().changes.size() == 2);
    CHECK_FALSE(changes.value().changes[0].removed);
    CHECK(changes.value().changes[1].removed);
    CHECK(changes.value().changes[1].item.key == "b");
}

// The store has dropped the history that a watch goes on from. Whoever took
// that for "nothing has changed" would never hear of the servers that left.
TEST_CASE("a forgotten history is told apart from a store that declines") {
    CHECK(dialect.read_watch("", 5, answer(410)).error().code ==
          error_code::stale);
    for (const unsigned status : {429U, 503U, 500U}) {
        CHECK(dialect.read_watch("", 5, answer(status)).error().code ==
              error_code::unavailable);
        CHECK(dialect.read_list("", answer(status)).error().code ==
              error_code::unavailable);
    }
}

// An answer that was cut or spoilt on its way must not pass for an empty list:
// all backend servers would be taken for gone, and every caller refused.
TEST_CASE("a spoilt answer of the store is an error") {
    for (const auto* body :
         {"", "{", "[]", R"({"items": []})", R"({"items": {}, "AsOf": "x"})",
          R"({"items": [{"Value": "eA==", "Revision": 1}], "AsOf": 1})"}) {
        CHECK(dialect.read_list("", answer(200, body)).error().code ==
              error_code::malformed);
    }
}

TEST_CASE("a backend server's entry is read, its id being the key's end") {
    const auto record = record_of(
        R"({"Service": "view", "Address": "127.0.0.9:8080", "Zone": "north",
            "Version": "v1", "MaxConcurrency": 6, "State": "ready",
            "ColdRemaining": 1500, "Sequence": 4})");
    CHECK(record.name == "i-7");
    CHECK(record.stamp.revision == 12);
    CHECK(record.stamp == membership::publication_stamp(12, 0, 0, 4));
    CHECK(record.present);
    CHECK(record.entry.service == "view");
    CHECK(record.entry.host == "127.0.0.9");
    CHECK(record.entry.port == 8080);
    CHECK(record.entry.data_centre == "north");
    CHECK(record.entry.slots == 6);
    CHECK(record.entry.cold_for == 1500ms);
    CHECK_FALSE(record.entry.leaving);
}

TEST_CASE("an entry that is draining is leaving, and a removed one is gone") {
    CHECK(record_of(
              R"({"Service": "view", "Address": "127.0.0.9:80", "Zone": "n",
                  "Version": "v1", "MaxConcurrency": 6, "State": "draining",
                  "ColdRemaining": 0, "Sequence": 9})")
              .entry.leaving);
    const auto removed = sample_state().decode_removal("servers/i-7", 13);
    const auto& record = std::get<membership::registry_record>(removed);
    CHECK(record.name == "i-7");
    CHECK_FALSE(record.present);
    CHECK(std::holds_alternative<control::unrelated_item>(
        sample_state().decode_removal("op/other", 13)));
}

TEST_CASE("an entry with a bad address is refused and named") {
    const auto fact = sample_state().decode(
        {"servers/i-7",
         R"({"Service": "view", "Address": "somewhere", "Zone": "n",
             "Version": "v1", "MaxConcurrency": 6, "State": "ready",
             "ColdRemaining": 0, "Sequence": 9})",
         12,
         {}});
    REQUIRE_FALSE(fact.has_value());
    CHECK(fact.error().peer == "servers/i-7");
}

TEST_CASE("the operator's configuration is known by its key and number") {
    const auto fact =
        sample_state().decode({"op/config", sample_configuration, 99, {}});
    REQUIRE(fact.has_value());
    const auto& text = std::get<configuration_text>(fact.value());
    CHECK(text.revision == 7); // the operator's, whatever the store's is
    CHECK(sample_state().parse(text).has_value());
    CHECK(std::holds_alternative<control::unrelated_item>(
        sample_state().decode({"op/else", "?", 99, {}}).value()));
}

TEST_CASE("a file that was announced by another number is refused") {
    // Guards against a number of an earlier release, which ordered files by the
    // store's revisions and is above all that the operator gives for long.
    CHECK_FALSE(sample_state().parse({99, sample_configuration}).has_value());
    CHECK_FALSE(sample_state().decode({"op/config", "{}", 99, {}}).has_value());
}

TEST_CASE("the era stands in all that is read of an answer") {
    const io::http_response listed{
        200,
        {{"Store-Era", "3"}},
        R"({"items": [{"Key": "a", "Value": "eA==", "Revision": 4}],
            "HasMore": false, "AsOf": 9})"};
    const auto page = dialect.read_list("", listed);
    CHECK(page.value().era == 3);
    CHECK(page.value().items[0].era == 3);
    const io::http_response watched{
        200,
        {{"Store-Era", "3"}},
        R"({"events": [{"Key": "a", "Revision": 4, "Tombstone": true}],
            "AsOf": 9})"};
    const auto changes = dialect.read_watch("", 2, watched);
    CHECK(changes.value().era == 3);
    CHECK(changes.value().changes[0].item.era == 3);
}

TEST_CASE("an order to evacuate is known by its key, whatever its value") {
    // Guards against requests into a zone whose order somebody wrote oddly.
    for (const io::published_item& item :
         {io::published_item{"op/evacuate/north", "{}", 12, ""},
          io::published_item{"op/evacuate/north", "", 12, "not base64"}}) {
        const auto fact = sample_state().decode(item);
        REQUIRE(fact.has_value());
        CHECK(std::get<membership::registry_record>(fact.value()) ==
              membership::make_evacuation_record("north", 12));
    }
    const auto gone = sample_state().decode_removal("op/evacuate/north", 15);
    const auto& record = std::get<membership::registry_record>(gone);
    CHECK_FALSE(record.present);
    CHECK(record.name == membership::make_evacuation_record("north", 1).name);
    CHECK(record.stamp.revision == 15);
}

TEST_CASE("no server's key is taken for an order to evacuate") {
    CHECK(std::holds_alternative<control::unrelated_item>(
        sample_state()
            .decode({"servers/evacuate/north", "{}", 3, {}})
            .value()));
}
