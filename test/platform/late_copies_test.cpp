#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "platform/asking_caller.hpp"
#include "platform/ending_servers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

// Guards against a payment that runs and is answered "not run", since it was
// given the late second copy of an answer to a liveness check.
TEST_CASE("a late copy of a liveness check's answer is given to no request") {
    constexpr unsigned not_run = 503;
    ending_servers played(2, 3, {{"probes_per_second", 20}});
    std::set<std::string> ran;
    played.decide = [&](const io::http_request& request) {
        ran.insert(*io::find_header(request.headers, "Waxwingvale-Attempt-Id"));
        return run_end::answer;
    };
    for (auto& server : played.servers) {
        server->work = 40ms;
    }
    auto& faulty = *played.servers.front();
    faulty.repeats_checks = true;
    asking_caller caller(played.loop, played.timers, 700ms);
    std::size_t next = 0;
    auto asking = played.timers.every(4ms, [&](time_point) {
        const auto port =
            played.instances.caller_port(next++ % played.instances.size());
        caller.ask(port, "POST", "/book/" + std::to_string(next));
    });
    for (int each = 0; each < 4; ++each) {
        faulty.says_ill = true;
        played.go_on(2s);
        faulty.says_ill = false;
        played.go_on(500ms);
    }
    asking.cancel();
    REQUIRE(played.go_on_until([&] { return caller.at_rest(); }));
    CHECK(caller.count_of(200) > 0);
    for (const auto& [id, answer] : caller.answers()) {
        INFO(id);
        CHECK((answer.status != not_run || ran.count(id) == 0));
    }
}
