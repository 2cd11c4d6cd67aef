#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "platform/ending_servers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr std::size_t ends_until_known = 3;
const ending_servers::request ending{"ending", "a.example", "/look/9",
                                     "GET",    {},          {}};

run_end ends_under_9(const io::http_request& asked) {
    return asked.target == "/look/9" ? run_end::end_process : run_end::answer;
}

// Sends copies until one is refused for good.
void send_until_known(ending_servers& by) {
    std::size_t next = 0;
    REQUIRE(by.go_on_until([&] {
        by.send(ending, next++);
        by.go_on(150ms);
        return by.sent["ending"].refused_for_good() > 0;
    }));
    by.go_on(300ms);
}

} // namespace

TEST_CASE("an instance that starts knows which requests end servers") {
    // Guards against one more end for each instance that is started.
    ending_servers played;
    played.decide = ends_under_9;
    send_until_known(played);
    const auto ended = played.ends.size();
    CHECK(ended <= ends_until_known);
    for (std::size_t each = 0; each < played.instances.size(); ++each) {
        played.instances.restart(each);
        played.go_on(1s);
        played.send(ending, each);
        played.go_on(500ms);
    }
    CHECK(played.ends.size() == ended);
    CHECK(played.sent["ending"].answers[200] == 0);
}

TEST_CASE("an instance that was stopped hears which requests end servers") {
    // Guards against ends by an instance that missed the word of its peers.
    ending_servers played;
    played.decide = ends_under_9;
    played.instances.process(3).signal(SIGSTOP);
    std::size_t next = 0;
    REQUIRE(played.go_on_until([&] {
        played.send(ending, next++ % 3);
        played.go_on(150ms);
        return played.sent["ending"].refused_for_good() > 0;
    }));
    played.go_on(2s);
    const auto ended = played.ends.size();
    CHECK(ended <= ends_until_known);
    played.instances.process(3).signal(SIGCONT);
    played.go_on(1s);
    for (int copies = 0; copies < 5; ++copies) {
        played.send(ending, 3);
        played.go_on(100ms);
    }
    CHECK(played.ends.size() == ended);
}

TEST_CASE("an instance that is killed in a trial does not cost more servers") {
    // Guards against trials that begin anew, since the instance that held the
    // last one is gone before it knew how it ended.
    ending_servers played;
    played.decide = ends_under_9;
    for (auto& each : played.servers) {
        each->ends_after = 300ms;
        each->ends_for_nobody = true;
    }
    played.send(ending, 0);
    REQUIRE(played.go_on_until([&] { return played.ends.size() == 1; }));
    played.go_on(150ms); // its second attempt is the trial
    played.instances.process(0).kill();
    std::size_t next = 0;
    const auto sending = played.timers.every(
        250ms, [&](time_point) { played.send(ending, 1 + next++ % 3); });
    played.go_on(16s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
}

TEST_CASE(
    "a large fleet knows which requests end servers, also after restarts") {
    // Guards against one more end for each instance to which a copy comes, in a
    // fleet that is no full mesh: only owners of slots, and those that ask them
    // for some, are told.
    constexpr std::size_t instances = 28;
    ending_servers played(instances);
    played.decide = ends_under_9;
    played.repeat(ending, 150ms, 9s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
    const auto ended = played.ends.size();
    for (const std::size_t each : {0U, 9U, 18U, 27U}) {
        played.instances.restart(each);
        played.go_on(1s);
        played.send(ending, each);
        played.go_on(300ms);
    }
    CHECK(played.ends.size() == ended);
    CHECK(played.sent["ending"].answers[200] == 0);
}

TEST_CASE("copies that come at once end servers only once") {
    // Guards against ends by copies that waited for slots, or were sent beside
    // a slow first one, when the first end was known.
    ending_servers played;
    played.decide = ends_under_9;
    for (std::size_t copies = 0; copies < 8; ++copies) {
        played.send(ending, copies);
    }
    played.go_on(1s);
    played.repeat(ending, 100ms, 5s);
    const auto known = played.ends.at(ends_until_known - 1) + 3s;
    CHECK(std::none_of(played.ends.begin(), played.ends.end(),
                       [&](time_point end) { return end > known; }));
    CHECK(played.sent["ending"].refused_for_good() > 0);
}

TEST_CASE("a long body that ends servers is known by its beginning") {
    // Guards against copies that differ by how much of a body had come.
    ending_servers played;
    played.decide = [](const io::http_request& asked) {
        return asked.method == "POST" ? run_end::end_process : run_end::answer;
    };
    const ending_servers::request booking{"booking", "a.example",
                                          "/book/1", "POST",
                                          {},        std::string(300'000, 'x')};
    played.repeat(booking, 200ms, 8s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["booking"].refused_for_good() > 0);
}

TEST_CASE(
    "connections that are reset again and again refuse nothing for good") {
    // Guards against harmless requests that are refused for minutes, since all
    // connections to living servers are reset under them several times.
    ending_servers played;
    for (auto& each : played.servers) {
        each->work = 60ms;
    }
    std::size_t next = 0;
    const auto sending = played.timers.every(25ms, [&](time_point) {
        ++next;
        const auto target = "/look/" + std::to_string(next % 10);
        played.send({"harmless", "a.example", target, "GET", {}, {}}, next);
    });
    const auto resetting = played.timers.every(300ms, [&](time_point) {
        for (auto& each : played.servers) {
            each->reset_connections();
        }
    });
    played.go_on(8s);
    auto& answers = played.sent["harmless"].answers;
    CHECK(played.sent["harmless"].refused_for_good() == 0);
    CHECK(answers[200] > next / 2);
}
