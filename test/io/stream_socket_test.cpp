#include <catch2/catch.hpp>
#include <cerrno>
#include <optional>
#include <string>
#include <waxwingvale/io/http_client.hpp>

#include "io/stream_socket.hpp"
#include "standin/raw_peer.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

constexpr std::size_t piece = 1000; // bytes
// Far above those of a loop that waits, far below those of one that is kept
// busy.
constexpr unsigned most_turns = 200;

// A socket whose peer is written by hand, and what it tells its owner.
struct watched_socket : standin::loop_fixture {
    standin::raw_listener peers{loop};
    std::string received;
    std::optional<int> ended; // by that number
    unsigned drained = 0;
    std::unique_ptr<io::stream_socket> socket;

    watched_socket() {
        bool connected = false;
        socket = std::make_unique<io::stream_socket>(
            loop, io::start_connect("127.0.0.1", peers.port()).value(), true,
            io::stream_socket_handlers{
                [&] { connected = true; },
                [this](const char* bytes, std::size_t size) {
                    received.append(bytes, size);
                },
                [this] { ended = socket->end_reason(); },
                [this] { ++drained; }});
        REQUIRE(run_until([&] { return connected && peers.count() == 1; }));
    }

    standin::raw_connection& peer() { return peers.at(0); }
    void write(std::size_t times) {
        for (std::size_t each = 0; each < times; ++each) {
            socket->write(std::string(piece, 'w'), {});
        }
    }
    // How often the loop turns in that time.
    unsigned turns_in(duration time) {
        const auto until = clock.now() + time;
        const auto beat = timers.every(5ms, [](time_point) {});
        unsigned turns = 0;
        while (clock.now() < until) {
            loop.run_once(true);
            ++turns;
        }
        return turns;
    }
    bool await_end() {
        return run_until([&] { return ended.has_value(); });
    }
};

} // namespace

// Guards against a reset that is taken for a close in order, since a write
// that failed has taken the system's only word of it.
TEST_CASE("a reset is told as one though a write has met it first") {
    const std::size_t writes = GENERATE(0U, 1U, 2U, 3U);
    CAPTURE(writes);
    watched_socket fixture;
    fixture.peer().send("a part");
    fixture.peer().reset();
    fixture.write(writes);
    REQUIRE(fixture.await_end());
    CHECK(fixture.received == "a part");
    CHECK(*fixture.ended == ECONNRESET);
}

// Guards against the same where reading is held back meanwhile, and against a
// loop that is kept busy by a socket that can't be written any more.
TEST_CASE("a reset is told once reading goes on") {
    watched_socket fixture;
    fixture.socket->pause_reading();
    fixture.peer().send("a part");
    fixture.peer().reset();
    fixture.write(2);
    CHECK(fixture.turns_in(50ms) < most_turns);
    CHECK_FALSE(fixture.ended);
    CHECK(fixture.drained == 0);
    fixture.socket->resume_reading();
    REQUIRE(fixture.await_end());
    CHECK(fixture.received == "a part");
    CHECK(*fixture.ended == ECONNRESET);
}

// Guards against a sound end that is taken for a reset: whoever has ended its
// side in order may reset what is still written to it.
TEST_CASE("a close in order stays one though what is written is reset") {
    watched_socket fixture;
    fixture.peer().pause();
    fixture.write(1);
    fixture.run_for(20ms);
    fixture.peer().send("the whole");
    fixture.peer().end_writing();
    fixture.socket->pause_reading();
    fixture.run_for(20ms);
    fixture.peer().close(); // bytes are unread: the system resets
    fixture.write(3);
    fixture.run_for(20ms);
    fixture.write(1);
    fixture.socket->resume_reading();
    REQUIRE(fixture.await_end());
    CHECK(fixture.received == "the whole");
    CHECK(*fixture.ended == 0);
}
