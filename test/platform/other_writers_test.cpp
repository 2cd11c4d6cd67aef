#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/reading_facts.hpp"
#include "control/unreadable_items.hpp"
#include "platform/sample_configuration.hpp"
#include "platform/store_state.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using nlohmann::json;

namespace {

json good_entry() {
    return {{"Service", "view"},     {"Address", "127.0.0.9:8080"},
            {"Zone", "north"},       {"Version", "v1"},
            {"MaxConcurrency", 6},   {"State", "ready"},
            {"ColdRemaining", 1500}, {"Sequence", 4}};
}

io::published_item entry_of(const std::string& id, const std::string& value,
                            std::uint64_t revision) {
    return {"servers/" + id, value, revision, {}};
}

store_state sample_state() {
    return store_state(sample_deployment());
}

result<control::published_fact> decoded(const json& entry) {
    return sample_state().decode(entry_of("i-7", entry.dump(), 12));
}

// What a process that takes these readings knows of backend servers.
struct registry_of_readings {
    store_state published = sample_state();
    membership::registry_table table{100};

    control::reading_facts take(const io::platform_reading& reading) {
        auto read = control::facts_of(reading, published);
        for (const auto& record : read.withdrawn) {
            table.merge(record, time_point());
        }
        for (const auto& fact : read.facts) {
            if (const auto* record =
                    std::get_if<membership::registry_record>(&fact)) {
                table.apply_change(*record, time_point());
            }
        }
        if (reading.whole) {
            table.apply_list(read.listed, reading.revision, time_point());
        }
        return read;
    }
};

} // namespace

TEST_CASE("an entry that lacks a field or has another type names no server") {
    // Another program writes where backend servers register themselves. Taken
    // for a server, its entry would get callers' requests.
    REQUIRE(decoded(good_entry()).has_value());
    const json whole = good_entry();
    for (const auto& field : whole.items()) {
        auto without = good_entry();
        without.erase(field.key());
        INFO(field.key());
        CHECK_FALSE(decoded(without).has_value());
        for (const json& other :
             {json(nullptr), json(-1), json(1.5), json::array({1}),
              json::object(), json(true), json("x"), json(1e300)}) {
            auto changed = good_entry();
            changed[field.key()] = other;
            const bool is_text =
                other.is_string() &&
                (field.key() == "Service" || field.key() == "Zone" ||
                 field.key() == "Version");
            const bool is_time = other == 1.5 && field.key() == "ColdRemaining";
            INFO(other.dump());
            CHECK(decoded(changed).has_value() == (is_text || is_time));
        }
    }
    auto of_state = good_entry();
    of_state["State"] = "asleep";
    CHECK_FALSE(decoded(of_state).has_value());
    auto without_slots = good_entry();
    without_slots["MaxConcurrency"] = 0;
    CHECK_FALSE(decoded(without_slots).has_value());
}

TEST_CASE("bytes that are no document name no server") {
    for (const std::string& bytes :
         {std::string(), std::string("{"), std::string("\xff\xfe\x00", 3),
          std::string(100000, '['), std::string("null"),
          std::string(500000, 'x')}) {
        const auto fact = sample_state().decode(entry_of("i-7", bytes, 12));
        REQUIRE_FALSE(fact.has_value());
        CHECK(fact.error().peer == "servers/i-7");
    }
}

TEST_CASE("one item of a page that cannot be read takes nothing from others") {
    // One value among 500 is no base64. Refused whole, the page would leave
    // every instance without any backend server as long as the item is there.
    json items = json::array();
    for (int i = 0; i < 500; ++i) {
        items.push_back({{"Key", "servers/i-" + std::to_string(i)},
                         {"Value", i == 250 ? "?" : "eA=="},
                         {"Revision", i + 1}});
    }
    const json body = {{"items", items}, {"HasMore", false}, {"AsOf", 900}};
    const store_dialect dialect;
    const auto page = dialect.read_list("", {200, {}, body.dump()});
    REQUIRE(page.has_value());
    REQUIRE(page.value().items.size() == 500);
    CHECK(page.value().items[249].value == "x");
    CHECK_FALSE(page.value().items[250].problem.empty());
    CHECK(page.value().items[250].revision == 251);
    CHECK_FALSE(sample_state().decode(page.value().items[250]).has_value());
}

TEST_CASE("a good entry that turns bad is withdrawn, the others hold") {
    // A watched change replaces the entry of a server by something that cannot
    // be read. Used on, the address that it had may be another service's.
    registry_of_readings known;
    io::platform_reading whole;
    whole.whole = true;
    whole.revision = 10;
    whole.items = {entry_of("i-1", good_entry().dump(), 8),
                   entry_of("i-2", good_entry().dump(), 9)};
    known.take(whole);
    REQUIRE(known.table.records().size() == 2);
    io::platform_reading changes;
    changes.changes = {{entry_of("i-1", "{", 11), false}};
    const auto read = known.take(changes);
    CHECK(known.table.records().count("i-1") == 0);
    CHECK(known.table.records().count("i-2") == 1);
    REQUIRE(read.unreadable.size() == 1);
    CHECK(read.unreadable[0].key == "servers/i-1");
    // Late word of the good entry does not bring it back; a newer one does.
    const auto old = sample_state().decode(whole.items[0]).value();
    CHECK_FALSE(known.table.merge(std::get<membership::registry_record>(old),
                                  time_point()));
    io::platform_reading again;
    again.changes = {{entry_of("i-1", good_entry().dump(), 12), false}};
    known.take(again);
    CHECK(known.table.records().count("i-1") == 1);
}

TEST_CASE("a configuration that cannot be read removes nothing") {
    const store_state published = sample_state();
    io::platform_reading changes;
    changes.changes = {{{"op/config", "", 9, "not base64"}, false},
                       {{"op/else", "?", 10, {}}, false},
                       {{"", "?", 11, {}}, false},
                       {{std::string(5000, 'k'), "?", 12, {}}, false}};
    const auto read = control::facts_of(changes, published);
    REQUIRE(read.unreadable.size() == 1);
    CHECK(read.unreadable[0].key == "op/config");
    CHECK(read.withdrawn.empty());
}

TEST_CASE("an unreadable item is told of once for each of its revisions") {
    // The store is read anew again and again; a line for each time would fill
    // the log.
    control::unreadable_items items;
    CHECK(items.note("servers/a", 1));
    CHECK_FALSE(items.note("servers/a", 1));
    CHECK(items.note("servers/a", 2));
    unsigned told = 0;
    for (int i = 0; i < 1000; ++i) {
        told += items.note("servers/" + std::to_string(i), 1) ? 1 : 0;
    }
    CHECK(told < 100);
    CHECK(items.seen() == 1003);
}

TEST_CASE("the moment of a server's start tells its processes apart") {
    auto entry = good_entry();
    CHECK(std::get<membership::registry_record>(decoded(entry).value())
              .entry.incarnation == 0);
    entry["born"] = 1796272786583;
    CHECK(std::get<membership::registry_record>(decoded(entry).value())
              .entry.incarnation == 1796272786583);
    for (const json& other : {json("1796272786583"), json(1.5), json(-4)}) {
        entry["born"] = other;
        CHECK_FALSE(decoded(entry).has_value());
    }
}
