#include <array>
#include <catch2/catch.hpp>
#include <ev.h>
#include <functional>
#include <string>
#include <thread>
#include <unistd.h>

#include <waxwingvale/kernel/lateness_meter.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// A byte that comes once, and what is done when the loop reads it.
class one_byte {
public:
    one_byte(kernel::event_loop& loop, std::function<void()> on_read)
        : loop_(loop.native()), on_read_(std::move(on_read)) {
        REQUIRE(::pipe(ends_.data()) == 0);
        ev_io_init(
            &readable_,
            [](struct ev_loop* on, ev_io* w, int) {
                ev_io_stop(on, w);
                static_cast<one_byte*>(w->data)->on_read_();
            },
            ends_[0], EV_READ);
        readable_.data = this;
        ev_io_start(loop_, &readable_);
    }
    ~one_byte() {
        ev_io_stop(loop_, &readable_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    one_byte(const one_byte&) = delete;
    one_byte& operator=(const one_byte&) = delete;

    void send() { REQUIRE(::write(ends_[1], "x", 1) == 1); }

private:
    struct ev_loop* loop_;
    std::function<void()> on_read_;
    std::array<int, 2> ends_{};
    ev_io readable_{};
};

// Bytes that are there at each turn of the loop, and what is done then.
class steady_bytes {
public:
    steady_bytes(kernel::event_loop& loop, std::function<void()> on_turn)
        : loop_(loop.native()), on_turn_(std::move(on_turn)) {
        REQUIRE(::pipe(ends_.data()) == 0);
        REQUIRE(::write(ends_[1], "x", 1) == 1);
        ev_io_init(
            &readable_,
            [](struct ev_loop*, ev_io* w, int) {
                static_cast<steady_bytes*>(w->data)->on_turn_();
            },
            ends_[0], EV_READ);
        readable_.data = this;
        ev_io_start(loop_, &readable_);
    }
    ~steady_bytes() {
        ev_io_stop(loop_, &readable_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    steady_bytes(const steady_bytes&) = delete;
    steady_bytes& operator=(const steady_bytes&) = delete;

private:
    struct ev_loop* loop_;
    std::function<void()> on_turn_;
    std::array<int, 2> ends_{};
    ev_io readable_{};
};

struct late_loop {
    kernel::event_loop loop;
    kernel::monotonic_clock clock;
    kernel::timer_service timers{clock, loop};
    std::string order;

    void run_for(duration time) {
        const auto until = clock.now() + time;
        const auto beat = timers.every(5ms, [](time_point) {});
        while (clock.now() < until) {
            loop.run_once(true);
        }
    }
};

} // namespace

// Guards against a loop that wakes late and lets a timer decide on the absence
// of bytes that have come: an answer in time is given up, a peer in touch is
// taken for gone.
TEST_CASE("a late loop reads what has come before its timers fire") {
    late_loop late;
    one_byte byte(late.loop, [&] { late.order += "read "; });
    const auto due =
        late.timers.after(20ms, [&](time_point) { late.order += "timer "; });
    byte.send();
    std::this_thread::sleep_for(50ms);
    late.run_for(20ms);
    CHECK(late.order == "read timer ");
}

// Guards against the same where the loop is late because of what it reads: what
// comes due meanwhile waits until the sockets were asked again.
TEST_CASE("a timer that comes due amid slow reading waits for what has come") {
    late_loop late;
    one_byte second(late.loop, [&] { late.order += "second "; });
    one_byte first(late.loop, [&] {
        late.order += "first ";
        second.send();
        std::this_thread::sleep_for(100ms);
    });
    const auto before =
        late.timers.after(20ms, [&](time_point) { late.order += "due "; });
    const auto amid =
        late.timers.after(80ms, [&](time_point) { late.order += "later "; });
    first.send();
    std::this_thread::sleep_for(40ms);
    late.run_for(300ms);
    CHECK(late.order == "first due second later ");
}

// Guards against answers that waited in a socket and are taken for slow ones.
TEST_CASE("the time for which a loop was held up is known before it reads") {
    late_loop late;
    kernel::lateness_meter meter(late.loop, late.timers);
    duration held_up{};
    one_byte byte(late.loop, [&] { held_up = meter.held_up(); });
    late.run_for(250ms);
    CHECK(meter.held_up() < 100ms);
    byte.send();
    std::this_thread::sleep_for(500ms);
    late.run_for(20ms);
    CHECK(held_up >= 390ms);
}

// Guards against a busy process in which no timer fires at all, since what it
// reads at each turn of its loop subscribes to timers: its limits of time pass
// unnoticed, and its peers hear nothing of it.
TEST_CASE("timers fire in a loop that always has something to read") {
    late_loop busy;
    kernel::timer_service::subscription deadline;
    unsigned turns = 0;
    const steady_bytes bytes(busy.loop, [&] {
        ++turns;
        std::this_thread::sleep_for(5ms);
        deadline = busy.timers.after(1h, [](time_point) {});
    });
    unsigned beats = 0;
    const auto beating = busy.timers.every(20ms, [&](time_point) { ++beats; });
    const auto until = busy.clock.now() + 1s;
    while (busy.clock.now() < until) {
        busy.loop.run_once(true);
    }
    CHECK(turns > 20);
    CHECK(beats > 10);
}
