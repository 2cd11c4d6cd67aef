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

const raw_request read_of(const std::string& name) {
    return {"GET", "/look/" + name};
}

const raw_request booking_of(const std::string& name) {
    return {"POST", "/book/" + name};
}

// Its body is on its way when the server answers.
raw_request upload_of(const std::string& name) {
    auto made = booking_of(name);
    made.body_size = 600 * 1024;
    made.chunked = true;
    return made;
}

// It got nothing of what the server sent, and no promise that it did not run.
void check_no_promise(const scripted_world& world, const raw_call& call) {
    const auto got = call.answer();
    INFO("answer: " << call.bytes().substr(0, 300));
    check_own_answer(call);
    CHECK_FALSE(got.has_header("Retry-After"));
    CHECK((got.status == bad_gateway || got.status == gateway_timeout));
    CHECK(world.arrivals(call.id()) > 0);
}

// Until one of them has reached a server: one may be refused before it is sent.
std::unique_ptr<raw_call> send_until_it_arrives(scripted_world& world,
                                                const raw_request& request) {
    std::unique_ptr<raw_call> call;
    do {
        call = world.call(0, request);
        REQUIRE(world.finish(*call));
        if (world.arrivals(call->id()) == 0) {
            CHECK(call->answer().status == unavailable);
            world.run_for(50ms);
        }
    } while (world.arrivals(call->id()) == 0);
    return call;
}

void check_all(scripted_world& world) {
    for (const auto& refusal : unproven_refusals()) {
        INFO(refusal.name);
        const auto booking =
            send_until_it_arrives(world, booking_of(refusal.name));
        check_no_promise(world, *booking);
        CHECK(world.arrivals(booking->id()) == 1);
        const auto upload =
            send_until_it_arrives(world, upload_of(refusal.name));
        check_no_promise(world, *upload);
        CHECK(world.arrivals(upload->id()) == 1);
        const auto read = send_until_it_arrives(world, read_of(refusal.name));
        check_no_promise(world, *read);
    }
    CHECK(world.serves_a_read());
}

} // namespace

// Guards against bookings that ran and are answered "not run": their callers
// would book once more.
TEST_CASE("a refusal that does not prove that nothing ran is not passed on") {
    scripted_world world(by_name(unproven_refusals()));
    check_all(world);
}

// Guards against the same where another instance has the request run.
TEST_CASE("an unproven refusal is not passed on by way of another instance") {
    scripted_world world(by_name(unproven_refusals()), 4, cut_node);
    world.partition_first();
    REQUIRE(world.serves_a_read());
    check_all(world);
}

// Guards against reads that fail though another server would have answered.
TEST_CASE("a read that is refused without proof is sent to another server") {
    const auto scripts = by_name(unproven_refusals());
    scripted_world world(
        [&](const io::http_request& head) -> std::optional<scripted_answer> {
            const auto* asked =
                io::find_header(head.headers, "Waxwingvale-Target-Instance");
            const bool refuses = asked != nullptr && *asked == "i-0";
            return refuses ? scripts(head) : std::nullopt;
        });
    unsigned met = 0;
    const auto until = world.timers.now() + 20s;
    while (met < 4 && world.timers.now() < until) {
        const auto call = world.call(met, read_of("429-short"));
        REQUIRE(world.finish(*call));
        if (world.servers[0]->arrivals(call->id()) > 0) {
            ++met;
            CHECK(call->answer().status == ok);
            CHECK(call->answer().body == "done " + call->id());
        }
    }
    CHECK(met == 4);
}

// Guards against a caller that is told that its booking may have run, where the
// server has proved that it has not: it could have booked at once.
TEST_CASE("a refusal that proves that nothing ran is given as one") {
    const bool detoured = GENERATE(false, true);
    CAPTURE(detoured);
    scripted_world world(by_name(proven_refusals()), 4, cut_node);
    if (detoured) {
        world.partition_first();
        REQUIRE(world.serves_a_read());
    }
    for (const auto& refusal : proven_refusals()) {
        INFO(refusal.name);
        const auto booking =
            send_until_it_arrives(world, booking_of(refusal.name));
        const auto got = booking->answer();
        INFO("answer: " << booking->bytes().substr(0, 300));
        CHECK(got.status == unavailable);
        CHECK(got.has_header("Retry-After"));
        CHECK_FALSE(got.has_header("Waxwingvale-Response-Signature"));
        CHECK_FALSE(got.has_header("X-Odd"));
    }
    CHECK(world.serves_a_read());
}
