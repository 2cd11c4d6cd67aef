#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "platform/ending_servers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr std::size_t ends_until_known = 3;
// How long after that the last instance hears of it, and how many copies may
// still reach servers.
constexpr duration known_within = 3s;
constexpr std::ptrdiff_t most_sent_later = 3;

const ending_servers::request ending{"ending", "a.example", "/look/9",
                                     "GET",    {},          {}};

run_end ends_under_9(const io::http_request& asked) {
    const auto* host = io::find_header(asked.headers, "Host");
    const auto* account = io::find_header(asked.headers, "X-Account");
    const bool ends =
        asked.target == "/look/9" && *host == "a.example" && account == nullptr;
    return ends ? run_end::end_process : run_end::answer;
}

} // namespace

TEST_CASE("a request that ends servers is known by all after three ends") {
    // Guards against one request that ends all servers of a service, since each
    // attempt of its caller looks like a request never seen before.
    const auto how = GENERATE(process_end::reset, process_end::close,
                              process_end::half_answer, process_end::replaced);
    INFO("servers end by way " << static_cast<int>(how));
    ending_servers played;
    played.ends_by(how);
    played.decide = ends_under_9;
    const ending_servers::request elsewhere{
        "another host", "b.example", "/look/9", "GET", {}, {}};
    const ending_servers::request other_account{
        "another account",    "a.example", "/look/9", "GET",
        {{"X-Account", "b"}}, {}};
    std::size_t next = 0;
    const auto neighbours = played.timers.every(50ms, [&](time_point) {
        played.send(elsewhere, next);
        played.send(other_account, next++);
    });
    played.repeat(ending, 150ms, 5s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
    for (const auto* name : {"another host", "another account"}) {
        INFO(name);
        CHECK(played.sent[name].refused_for_good() == 0);
        CHECK(played.sent[name].answers[200] > 80);
    }
}

TEST_CASE("copies that differ in a header of their caller are known as one") {
    // Guards against a request that ends all servers of a service, since its
    // caller numbers its copies in a header of its own.
    ending_servers played;
    played.decide = ends_under_9;
    std::size_t next = 0;
    const auto sending = played.timers.every(150ms, [&](time_point) {
        auto copy = ending;
        copy.headers = {{"X-Copy", std::to_string(++next)}};
        played.send(copy, next);
        played.send({"another account",
                     "a.example",
                     "/look/9",
                     "GET",
                     {{"X-Account", "b"}},
                     {}},
                    next);
    });
    played.go_on(6s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
    CHECK(played.sent["another account"].refused_for_good() == 0);
    CHECK(played.sent["another account"].answers[200] > 20);
}

TEST_CASE("one value of a header that ends servers refuses no other value") {
    // Guards against harmless requests that are refused for minutes, since
    // another value of one of their headers ends servers.
    ending_servers played;
    played.decide = [](const io::http_request& asked) {
        const auto* copy = io::find_header(asked.headers, "X-Copy");
        const bool ends = copy != nullptr && *copy == "ending";
        return ends ? run_end::end_process : run_end::answer;
    };
    std::size_t next = 0;
    const auto sending = played.timers.every(150ms, [&](time_point) {
        auto copy = ending;
        copy.headers = {{"X-Copy", "ending"}};
        played.send(copy, ++next);
        copy.name = "harmless";
        copy.headers = {{"X-Copy", std::to_string(next)}};
        played.send(copy, next);
    });
    played.go_on(6s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
    CHECK(played.sent["harmless"].refused_for_good() == 0);
    CHECK(played.sent["harmless"].answers[200] > 20);
}

TEST_CASE("a request that ends servers without a word is known by all") {
    // Guards against ends that only show as silence, which is no sign of one
    // while a server is slow.
    ending_servers played;
    played.ends_by(process_end::silence);
    played.decide = ends_under_9;
    played.repeat(ending, 500ms, 12s);
    played.repeat(ending, 150ms, 2s);
    REQUIRE(played.ends.size() >= ends_until_known);
    const auto known = played.ends[ends_until_known - 1] + known_within;
    const auto later =
        std::count_if(played.ends.begin(), played.ends.end(),
                      [&](time_point end) { return end > known; });
    CHECK(later <= most_sent_later);
    CHECK(played.sent["ending"].refused_for_good() > 0);
}

TEST_CASE("what only loses its connection is never refused for good") {
    // Guards against the loss of harmless requests for minutes: their servers
    // live on, while another request ends servers beside them.
    const std::map<std::string, run_end> ends_of = {
        {"/look/reset", run_end::reset_connection},
        {"/look/close", run_end::close_connection},
        {"/look/cut", run_end::cut_answer},
        {"/look/silent", run_end::stay_silent},
        {"/look/garbled", run_end::garble},
        {"/look/failed", run_end::fail},
        {"/look/refused", run_end::refuse}};
    ending_servers played;
    played.decide = [&](const io::http_request& asked) {
        const auto harmless = ends_of.find(asked.target);
        return harmless == ends_of.end() ? ends_under_9(asked)
                                         : harmless->second;
    };
    std::size_t next = 0;
    const auto harmless = played.timers.every(200ms, [&](time_point) {
        for (const auto& each : ends_of) {
            played.send({each.first, "a.example", each.first, "GET", {}, {}},
                        ++next);
        }
    });
    played.repeat(ending, 200ms, 6s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
    for (const auto& each : ends_of) {
        INFO(each.first);
        CHECK(played.sent[each.first].refused_for_good() == 0);
    }
}
