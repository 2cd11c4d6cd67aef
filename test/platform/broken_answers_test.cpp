#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "platform/broken_answers.hpp"
#include "platform/scripted_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;
constexpr std::size_t calls_of_each = 3;
// A server that sent no answer gets little for longer and longer.
constexpr unsigned reads_to_meet_it = 5;

struct played_route {
    const char* method;
    const char* prefix;
    bool repeatable;
};

constexpr played_route routes[] = {{"GET", "/look/", true},
                                   {"GET", "/fetch/", true},
                                   {"POST", "/book/", false}};

// Ordinary reads of all instances beside what a test asks.
class ordinary_reads {
public:
    explicit ordinary_reads(scripted_world& world) : world_(world) {
        asking_ = world.timers.every(20ms, [this](time_point) { ask(); });
    }

    // Each got its own answer or a refusal.
    void check() {
        world_.run_until([this] {
            return std::all_of(calls_.begin(), calls_.end(),
                               [](const auto& each) { return each->over(); });
        });
        std::size_t served = 0;
        for (const auto& each : calls_) {
            const auto got = each->answer();
            if (got.whole_success()) {
                ++served;
                CHECK(got.body == "done " + each->id());
            }
        }
        CHECK(served > 0);
    }

private:
    void ask() {
        calls_.push_back(
            world_.call(calls_.size(), {"GET", "/look/of-others"}));
    }

    scripted_world& world_;
    std::vector<std::unique_ptr<raw_call>> calls_;
    kernel::timer_service::subscription asking_;
};

// The caller was told that it may have run, where it had reached a server, and
// got nothing of what the server sent.
void check_refused(const scripted_world& world, const raw_call& call,
                   bool repeatable) {
    const auto got = call.answer();
    INFO("answer: " << call.bytes().substr(0, 300));
    check_own_answer(call);
    const auto arrivals = world.arrivals(call.id());
    if (arrivals == 0) {
        CHECK(got.status == unavailable);
    } else if (repeatable) {
        CHECK((got.status == bad_gateway || got.status == gateway_timeout));
    } else {
        CHECK(got.status == bad_gateway);
        CHECK(arrivals == 1);
    }
}

} // namespace

// Guards against bytes that are no answer and reach a caller as one.
TEST_CASE("what is no answer is never passed on") {
    const auto all = broken_answers();
    scripted_world world(by_name(all));
    ordinary_reads others(world);
    std::map<std::string, unsigned> reached; // calls, by the answer's name
    for (const auto& broken : all) {
        for (const auto& route : routes) {
            for (std::size_t each = 0; each < calls_of_each; ++each) {
                INFO(broken.name << " on " << route.prefix);
                const auto call = world.call(
                    each, {route.method, route.prefix + broken.name});
                REQUIRE(world.finish(*call));
                check_refused(world, *call, route.repeatable);
                reached[broken.name] += world.arrivals(call->id());
            }
        }
        INFO(broken.name);
        CHECK(reached[broken.name] > 0);
    }
    CHECK(world.used_again() == 0);
    others.check();
    CHECK(world.serves_a_read());
}

// Guards against the same where another instance has the request run, since the
// first one reaches no server.
TEST_CASE("what is no answer is not passed on by way of another instance") {
    const auto all = broken_answers();
    scripted_world world(by_name(all), 4, cut_node);
    world.partition_first();
    REQUIRE(world.serves_a_read());
    unsigned reached = 0;
    for (const auto& broken : all) {
        for (const auto& route : routes) {
            INFO(broken.name << " on " << route.prefix);
            const auto call =
                world.call(0, {route.method, route.prefix + broken.name});
            REQUIRE(world.finish(*call));
            check_refused(world, *call, route.repeatable);
            reached += world.arrivals(call->id()) > 0 ? 1 : 0;
        }
    }
    CHECK(reached >= all.size());
    CHECK(world.serves_a_read());
}

// Guards against a part of a long answer that looks whole, also to callers for
// whom an answer ends with its connection.
TEST_CASE("a long answer that breaks while it is passed on is cut") {
    const auto all = long_answers_that_break();
    scripted_world world(by_name(all));
    std::size_t begun = 0;
    for (const auto& broken : all) {
        for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
            for (const auto& route : routes) {
                INFO(broken.name << " on " << route.prefix << version);
                raw_request request;
                request.method = route.method;
                request.target = route.prefix + broken.name;
                request.version = version;
                const auto call = world.call(0, request);
                REQUIRE(world.finish(*call));
                const auto got = call->answer();
                INFO("answer: " << call->bytes().substr(0, 300));
                CHECK(answers_begun(call->bytes()) <= 1);
                CHECK_FALSE(got.whole_success());
                begun += got.status == ok ? 1 : 0;
            }
        }
    }
    CHECK(begun >= all.size());
    CHECK(world.serves_a_read());
}

// Guards against sound answers that are lost to a check of broken ones, here or
// at another instance that has the request run.
TEST_CASE("odd but legal answers are served whole") {
    const bool detoured = GENERATE(false, true);
    CAPTURE(detoured);
    const auto all = odd_sound_answers();
    scripted_world world(by_name(all), 4, cut_node);
    if (detoured) {
        world.partition_first();
        REQUIRE(world.serves_a_read());
    }
    for (const auto& sound : all) {
        for (const auto& route : routes) {
            INFO(sound.name << " on " << route.prefix);
            const auto call =
                world.call(0, {route.method, route.prefix + sound.name});
            REQUIRE(world.finish(*call));
            const auto got = call->answer();
            INFO("answer: " << call->bytes().substr(0, 300));
            CHECK(got.status == sound.status);
            CHECK(got.complete);
            CHECK(got.has_header("Waxwingvale-Response-Signature"));
            CHECK((got.body == sound.body));
            world.run_for(20ms);
        }
    }
}

// Guards against a read that fails, though another server would have answered.
TEST_CASE("a read that got no answer is sent to another server") {
    const auto all = broken_answers();
    const auto scripts = by_name(all);
    scripted_world world(
        [&](const io::http_request& head) -> std::optional<scripted_answer> {
            const auto* asked =
                io::find_header(head.headers, "Waxwingvale-Target-Instance");
            const bool is_broken = asked != nullptr && *asked == "i-0";
            return is_broken ? scripts(head) : std::nullopt;
        });
    unsigned repeated = 0;
    const auto until = world.timers.now() + 20s;
    std::size_t asked = 0;
    while (repeated < reads_to_meet_it && world.timers.now() < until) {
        const auto& broken = all[asked % all.size()];
        const auto call = world.call(asked++, {"GET", "/look/" + broken.name});
        REQUIRE(world.finish(*call));
        const auto got = call->answer();
        INFO(broken.name << ": " << call->bytes().substr(0, 300));
        const bool met = world.servers[0]->arrivals(call->id()) > 0;
        repeated += met ? 1 : 0;
        if (met) {
            CHECK(got.whole_success());
            CHECK(got.body == "done " + call->id());
        }
    }
    CHECK(repeated >= reads_to_meet_it);
}
