#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "control/reading_facts.hpp"
#include "io/reading_portions.hpp"
#include "platform/sample_configuration.hpp"
#include "platform/scripted_world.hpp"
#include "platform/store_state.hpp"
#include "standin/control_fleet.hpp"
#include "standin/http_request_once.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using nlohmann::json;

namespace {

constexpr std::size_t largest_value = 1024 * 1024; // bytes, of the store
// Far above what a read takes, and below the time of its route.
constexpr duration longest_wait = 1s;
// Requests may be answered so much later than their route's time.
constexpr duration longest_held = 500ms;
constexpr std::size_t most_growth = 48 * 1024; // kilobytes, of a process

std::string repeated(const std::string& piece, std::size_t size) {
    std::string text;
    while (text.size() + piece.size() <= size) {
        text += piece;
    }
    return text;
}

std::string sound_entry_with(const std::string& field, const json& value) {
    json entry = {{"Service", "view"},   {"Address", "127.0.0.1:9"},
                  {"Zone", "north"},     {"Version", "v1"},
                  {"MaxConcurrency", 8}, {"State", "ready"},
                  {"ColdRemaining", 0},  {"Sequence", 1}};
    entry[field] = value;
    return entry.dump();
}

// What another program may keep where backend servers register.
std::map<std::string, std::string> foreign_values() {
    const std::size_t size = largest_value - 1024;
    return {
        {"records", "[" + repeated("{\"free\":1},", size) + "{}]"},
        {"brackets", std::string(size, '[')},
        {"fields", "{" + repeated("\"f\":{},", size) + "\"g\":1}"},
        {"numbers", "[" + repeated("1,", size) + "1]"},
        {"bytes", std::string(size, '\xff')},
        {"long-name", sound_entry_with("Version", std::string(size, 'v'))},
        {"deep-field",
         sound_entry_with(
             "Zone", json::parse("[" + repeated("[],", size / 8) + "[]]"))},
    };
}

// Small enough to be looked into.
std::map<std::string, std::string> small_foreign_values() {
    return {
        {"lacks-fields", R"({"Service": "view"})"},
        {"no-text", std::string("\xff\xfe\x00\x80", 4)},
        {"brackets", std::string(8000, '[')},
        {"other-service", sound_entry_with("Service", "of-others")},
        {"other-state", sound_entry_with("State", "asleep")},
    };
}

// The longest turn that an instance tells of.
duration longest_turn(const scripted_world& world, std::size_t number) {
    const auto text = standin::body_of(
        standin::http_get(world.instances.metrics_port(number), "/metrics"));
    const auto seconds =
        standin::metric_in(text, "waxwing_longest_turn_seconds");
    REQUIRE(seconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(*seconds));
}

// Reads of all instances, and how long each waited for its answer.
class watched_reads {
public:
    explicit watched_reads(scripted_world& world) : world_(world) {
        asking_ = world.timers.every(10ms, [this](time_point) { turn(); });
    }

    duration longest() const { return longest_; }
    std::size_t served() const { return served_; }
    // None of those sent from now on is to reach that server.
    void forbid(const scripted_server& server) { forbidden_ = &server; }
    std::size_t misled() const { return misled_; }

private:
    struct asked {
        std::unique_ptr<raw_call> call;
        time_point at{};
        bool forbidden = false;
    };

    void turn() {
        const auto now = world_.timers.now();
        for (auto& each : open_) {
            longest_ = std::max(longest_, now - each.at);
            if (each.call->over()) {
                served_ += each.call->answer().whole_success() ? 1 : 0;
                misled_ +=
                    each.forbidden && forbidden_->arrivals(each.call->id()) > 0
                        ? 1
                        : 0;
                each.call.reset();
            }
        }
        open_.erase(std::remove_if(
                        open_.begin(), open_.end(),
                        [](const asked& each) { return each.call == nullptr; }),
                    open_.end());
        open_.push_back({world_.call(count_++, {"GET", "/look/own"}), now,
                         forbidden_ != nullptr});
    }

    scripted_world& world_;
    std::vector<asked> open_;
    std::size_t count_ = 0;
    duration longest_{};
    std::size_t served_ = 0;
    std::size_t misled_ = 0;
    const scripted_server* forbidden_ = nullptr;
    kernel::timer_service::subscription asking_;
};

std::optional<scripted_answer> answers_all(const io::http_request&) {
    return std::nullopt;
}

std::string leaving(const scripted_server& server) {
    auto entry = json::parse(server.entry());
    entry["State"] = "draining";
    entry["Sequence"] = 2;
    return entry.dump();
}

// Of almost as many bytes as the store takes; the version adds a route.
std::string large_configuration(unsigned version) {
    const auto route = [](const std::string& prefix) {
        return json{{"Name", "r" + prefix}, {"Host", "a.example"},
                    {"PathPrefix", prefix}, {"Kind", "idempotent"},
                    {"Service", "view"},    {"Timeout", 3000},
                    {"MaxAttempts", 2}};
    };
    auto routes = json::array({route("/look/")});
    routes.push_back(route("/added-" + std::to_string(version) + "/"));
    constexpr std::size_t route_count = 7500;
    for (std::size_t i = 0; i < route_count; ++i) {
        routes.push_back(route("/other-" + std::to_string(i) + "/"));
    }
    const json services = {{{"Name", "view"}, {"HealthPath", "/healthz"}}};
    auto text =
        json{{"Version", version}, {"Routes", routes}, {"Services", services}}
            .dump();
    REQUIRE(text.size() < largest_value);
    REQUIRE(text.size() > largest_value / 10 * 9);
    return text;
}

using keys_and_values = std::vector<std::pair<std::string, std::string>>;

keys_and_values small_entries(std::size_t count) {
    keys_and_values made;
    made.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        made.emplace_back("servers/i-" + std::to_string(i), "eA==");
    }
    return made;
}

// What another program writes beside the entries of backend servers.
struct foreign_writer {
    std::string value;
    duration period{}; // between two turns
    std::size_t a_turn = 1;
    std::size_t in_all = 1;
    std::size_t keys = 1; // written one after the other, again and again
};

// Callers of three instances are served meanwhile, and a server leaves.
void play(const foreign_writer& writer) {
    scripted_world world(answers_all);
    std::size_t before = 0;
    for (std::size_t i = 0; i < world.instances.size(); ++i) {
        before = std::max(before, world.instances.process(i).peak_memory());
    }
    watched_reads reads(world);
    std::size_t written = 0;
    auto writing = world.timers.every(writer.period, [&](time_point) {
        for (std::size_t i = 0; i < writer.a_turn && written < writer.in_all;
             ++i) {
            world.store.put("servers/" +
                                std::to_string(written++ % writer.keys),
                            writer.value);
        }
    });
    REQUIRE(world.run_until([&] { return written >= writer.in_all / 2; }));
    world.store.put("servers/" + world.servers[3]->id(),
                    leaving(*world.servers[3]));
    world.run_for(2s);
    reads.forbid(*world.servers[3]);
    REQUIRE(world.run_until([&] { return written == writer.in_all; }));
    world.run_for(2s);
    CHECK(reads.longest() / 1ms < longest_wait / 1ms);
    CHECK(reads.served() > 200);
    CHECK(reads.misled() == 0);
    for (std::size_t i = 0; i < world.instances.size(); ++i) {
        INFO("instance " << i);
        const auto peak = world.instances.process(i).peak_memory();
        CHECK(peak < before + most_growth);
        CHECK(longest_turn(world, i) / 1ms < longest_held / 1ms);
    }
    // One that starts now reads all of it as a list.
    world.instances.process(0).kill();
    world.instances.start_again(0);
    CHECK(world.serves_a_read());
    CHECK(world.instances.process(0).peak_memory() < before + most_growth);
}

std::string page_of(const keys_and_values& all) {
    json items = json::array();
    std::uint64_t revision = 0;
    for (const auto& [key, text] : all) {
        items.push_back(
            {{"Key", key}, {"Value", text}, {"Revision", ++revision}});
    }
    return json{{"items", items}, {"HasMore", false}, {"AsOf", 900}}.dump();
}

} // namespace

// Guards against an instance that answers nobody while it goes through what
// another program has written, or holds all of it in its memory, and against a
// leaving server that it learns of too late beside it.
TEST_CASE("large entries of other programs hold up nobody") {
    const auto values = foreign_values();
    const auto kind = GENERATE_COPY(from_range(values));
    CAPTURE(kind.first);
    play({kind.second, 30ms, 1, 60, 60});
}

// Guards against the same by entries that are small and many, or written over
// and over.
TEST_CASE("thousands of small entries of other programs hold up nobody") {
    const auto values = small_foreign_values();
    const auto kind = GENERATE_COPY(from_range(values));
    const bool rewritten = GENERATE(false, true);
    CAPTURE(kind.first, rewritten);
    play({kind.second, 10ms, 60, 12'000, rewritten ? 40U : 12'000U});
}

// Guards against an instance that answers nobody while it reads a new
// configuration of the largest size, or has it in force too late.
TEST_CASE("configurations of the largest size hold up nobody") {
    scripted_world world(answers_all);
    watched_reads reads(world);
    unsigned version = 1;
    auto writing = world.timers.every(400ms, [&](time_point) {
        if (version < 6) {
            world.store.write(large_configuration(++version));
        }
    });
    REQUIRE(world.run_until([&] { return version == 6; }));
    world.run_for(2s);
    CHECK(reads.longest() / 1ms < longest_wait / 1ms);
    CHECK(reads.served() > 200);
    for (std::size_t i = 0; i < world.instances.size(); ++i) {
        INFO("instance " << i);
        const auto call = world.call(i, {"GET", "/added-6/x"});
        REQUIRE(world.finish(*call));
        CHECK(call->answer().whole_success());
        CHECK(longest_turn(world, i) / 1ms < longest_held / 1ms);
    }
}

// Guards against a turn of the loop as long as the list that is read in it.
TEST_CASE("a page with many entries is given on in portions") {
    const auto many = small_entries(5000);
    const store_dialect dialect;
    auto page = dialect.read_list("", {200, {}, page_of(many)});
    REQUIRE(page);
    io::reading_portions portions(std::move(page.value()));
    std::size_t taken = 0;
    std::size_t turns = 0;
    while (!portions.empty()) {
        io::platform_reading reading;
        REQUIRE(portions.take(reading));
        CHECK(reading.items.size() <= 256);
        taken += reading.items.size();
        ++turns;
    }
    CHECK(taken == 5000);
    CHECK(turns >= 5000 / 256);
    CHECK(portions.last_key() == "servers/i-4999");
}

// Guards against a value that is decoded and parsed though no backend server
// has written it.
TEST_CASE("a value that is too long is none, and names its item") {
    const std::string longest(16 * 1024 / 3 * 4, 'A');
    const store_dialect dialect;
    const auto page = dialect.read_list(
        "", {200,
             {},
             page_of({{"op/config", std::string(1024 * 1024, 'A')},
                      {"servers/a", longest},
                      {"servers/b", longest + std::string(64, 'A')},
                      {"servers/c", std::string(1024 * 1024, 'A')},
                      {"servers/d", "eA=="}})});
    REQUIRE(page);
    io::reading_portions portions(page.value());
    io::platform_reading reading;
    while (!portions.empty()) {
        REQUIRE(portions.take(reading));
    }
    REQUIRE(reading.items.size() == 5);
    const std::vector<bool> too_long{false, false, true, true, false};
    for (std::size_t i = 0; i < too_long.size(); ++i) {
        const auto& item = reading.items[i];
        INFO(item.key);
        CHECK(item.problem.empty() != too_long[i]);
        CHECK(item.value.empty() == too_long[i]);
    }
}

// Guards against entries that take hundreds of times as long to refuse as to
// read, since the library builds all of them first.
TEST_CASE("an entry too deep or of too many values is refused unbuilt") {
    const store_state published(sample_deployment());
    const auto why = [&](const std::string& value) {
        const auto decoded = published.decode({"servers/i", value, 1, ""});
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().code == error_code::malformed);
        return decoded.error().detail;
    };
    CHECK(why(std::string(8000, '[')) ==
          "expected at most 64 levels of nesting");
    CHECK(why("[" + repeated("1,", 8000) + "1]") ==
          "expected at most 1024 values");
    auto extended = json::parse(sound_entry_with("Zone", "n"));
    extended["More"] = json::parse("[" + repeated("[[]],", 1000) + "{}]");
    CHECK(published.decode({"servers/i", extended.dump(), 1, ""}));
    const auto told = published.parse({1, std::string(512 * 1024, '[')});
    REQUIRE_FALSE(told);
    CHECK(told.error().detail == "expected at most 64 levels of nesting");
}

// Guards against names that fill the memory of every instance.
TEST_CASE("an entry with a name that is too long names no server") {
    const store_state published(sample_deployment());
    for (const auto* field : {"Service", "Zone", "Version"}) {
        INFO(field);
        const auto decoded = [&](std::size_t size) {
            return published.decode(
                {"servers/i", sound_entry_with(field, std::string(size, 'n')),
                 1, ""});
        };
        CHECK(decoded(200));
        CHECK_FALSE(decoded(201));
    }
    const auto of_key =
        published.decode({"servers/" + std::string(201, 'k'),
                          sound_entry_with("Zone", "n"), 1, ""});
    CHECK(std::holds_alternative<control::unrelated_item>(of_key.value()));
}

// Guards against an item that is none, behind others of a long answer, and is
// taken for the end of the list: all servers behind it would be gone.
TEST_CASE("a long answer whose items are spoilt is malformed") {
    auto text = page_of(small_entries(3000));
    const auto at = text.find("\"Key\":\"servers/i-2500\"");
    REQUIRE(at != text.npos);
    text.replace(at, 5, "\"Kez\"");
    const store_dialect dialect;
    auto page = dialect.read_list("", {200, {}, text});
    REQUIRE(page);
    io::reading_portions portions(std::move(page.value()));
    result<void> taken = success();
    while (taken && !portions.empty()) {
        io::platform_reading reading;
        taken = portions.take(reading);
    }
    REQUIRE_FALSE(taken);
    CHECK(taken.error().code == error_code::malformed);
}
