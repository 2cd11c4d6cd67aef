#include <catch2/catch.hpp>
#include <string>

#include "entry/caller_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using standin::caller_world;

namespace {

constexpr std::size_t longer_than_is_waited_for = 2 * 1024 * 1024;

// A read whose server is silent, so that its second copy is sent for; the other
// server's one slot is taken by a booking.
struct waiting_copy : caller_world {
    std::unique_ptr<standin::raw_connection> reader = caller();
    std::unique_ptr<standin::raw_connection> booker = caller();
    standin::raw_listener* silent = nullptr;
    // Tells that servers can be reached, as other answers would.
    kernel::timer_service::subscription proof;

    waiting_copy() : caller_world(1) {
        auto& budgets = config.services[0].budgets;
        budgets.repeat_window = 100ms;
        budgets.repeat_extra = 1000;
        publish();
        proof = timers.every(20ms, [this](time_point now) {
            forwarding::backend_result answered{
                io::http_response{}, true, {}, {}};
            answered.connecting_began = now;
            reach.judge("another", answered, {});
        });
        reader->send(get());
        REQUIRE(run_until([&] { return requests_at_servers() == 1; }));
        silent = requests_at(a) == 1 ? &a : &b;
        booker->send(post());
        REQUIRE(run_until([&] { return requests_at_servers() == 2; }));
        run_for(1s);
    }
    standin::raw_listener& other() { return silent == &a ? b : a; }
};

} // namespace

// Guards against a caller that hangs amid its answer, or gets bytes of two: its
// retry waits for a slot beside its second copy, which is being answered.
TEST_CASE("a retry takes the place of the second copy that waits for a slot") {
    waiting_copy f;
    f.answer(f.silent->at(0), "HTTP/1.1 503 Service Unavailable\r\n"
                              "Waxwing-Not-Started: 1\r\n");
    f.run_for(50ms);
    auto& server = *f.busy_connection(f.other());
    f.answer(server, "HTTP/1.1 200 OK\r\n");
    REQUIRE(f.run_until([&] { return f.requests_at(f.other()) == 1; }));
    auto& chosen = *f.busy_connection(f.other());
    const std::string half(longer_than_is_waited_for, 'x');
    chosen.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(2 * half.size()) + "\r\n\r\n" + half);
    REQUIRE(f.run_until([&] { return f.reader->received_contains("200 OK"); }));
    f.run_for(50ms);
    f.config.services.clear();
    f.publish(); // refuses whatever still waits
    chosen.send(half);
    CHECK(f.run_until(
        [&] { return f.reader->received().size() > 2 * half.size(); }));
    CHECK(f.callers.pending() == 0);
    CHECK(f.desk.open_calls() == 0);
}
