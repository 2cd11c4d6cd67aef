#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "hub_pair.hpp"
#include "io/link_authentication.hpp"
#include "io/link_frame.hpp"
#include "io/link_websocket.hpp"
#include "io/stream_socket.hpp"

using namespace waxwingvale;

namespace {

// A peer that speaks the protocol by hand, so that a test can break it at any
// place.
struct hand_made_peer {
    hand_made_peer(hub_bench& bench, std::uint16_t port) : dialer("b") {
        io::link_websocket_handlers handlers;
        handlers.on_output = [this](const char* bytes, std::size_t size) {
            socket->write(bytes, sends_half ? size / 2 : size);
        };
        handlers.on_open = [this] { open = true; };
        handlers.on_message = [this](const std::string& message) {
            last = message;
        };
        handlers.on_failed = [](bool) {};
        websocket = factory.dial("127.0.0.1", std::move(handlers));
        io::stream_socket_handlers on_socket;
        on_socket.on_connected = [this] { websocket->start(); };
        on_socket.on_bytes = [this](const char* bytes, std::size_t size) {
            websocket->feed(bytes, size);
        };
        on_socket.on_end = [this] { ended = true; };
        socket = std::make_unique<io::stream_socket>(
            bench.loop, io::start_connect("127.0.0.1", port).value(), true,
            std::move(on_socket));
    }
    ~hand_made_peer() {
        socket->close();
        websocket->finish();
    }

    // The opening exchange up to the proof; returns the connection's keys.
    io::link_keys prove(hub_bench& bench) {
        REQUIRE(bench.run_until([&] { return open; }));
        io::link_identity identity;
        identity.dialer = dialer;
        identity.dialer_nonce = io::fresh_link_nonce();
        io::link_frame hello;
        hello.kind = "hello";
        hello.name = dialer;
        hello.nonce = identity.dialer_nonce;
        websocket->send(io::encode_link_frame(hello));
        REQUIRE(bench.run_until([&] { return !last.empty(); }));
        const auto challenge = io::decode_link_frame(
            reinterpret_cast<const std::uint8_t*>(last.data()), last.size());
        identity.listener = challenge.value().name;
        identity.listener_nonce = challenge.value().nonce;
        io::link_frame proof;
        proof.kind = "proof";
        proof.name = dialer;
        proof.payload = bytes_of(io::dialer_proof("secret", identity));
        websocket->send(io::encode_link_frame(proof));
        return io::derive_link_keys("secret", identity);
    }

    static io::link_bytes message(const std::string& key,
                                  std::uint64_t sequence) {
        io::link_frame frame;
        frame.kind = "text";
        frame.sequence = sequence;
        frame.payload = bytes_of("run this booking");
        auto bytes = io::encode_link_frame(frame);
        const auto tag = io::link_tag(key, bytes.data(), bytes.size());
        bytes.insert(bytes.end(), tag.begin(), tag.end());
        return bytes;
    }

    std::string dialer;
    io::link_websocket_factory factory;
    std::unique_ptr<io::link_websocket> websocket;
    std::unique_ptr<io::stream_socket> socket;
    std::string last;
    bool open = false;
    bool ended = false;
    bool sends_half = false; // of each message
};

struct listening_hub {
    listening_hub() : hub(bench.make_hub("a")) {
        REQUIRE(hub->listen("127.0.0.1", 0).has_value());
        hub->on_message(
            "text", [this](const std::string&, const auto&) { ++received; });
    }

    hub_bench bench;
    std::unique_ptr<io::message_hub> hub;
    unsigned received = 0;
};

} // namespace

TEST_CASE("a message sent twice is taken once and closes the link") {
    // Somebody between two instances records a message and sends it again.
    // Taken twice, a hand-over of a booking could run it twice.
    listening_hub fixture;
    hand_made_peer peer(fixture.bench, fixture.hub->port());
    const auto keys = peer.prove(fixture.bench);
    const auto recorded = hand_made_peer::message(keys.dialer_to_listener, 0);
    peer.websocket->send(recorded);
    peer.websocket->send(recorded);
    REQUIRE(fixture.bench.run_until([&] { return peer.ended; }));
    CHECK(fixture.received == 1);
    CHECK(fixture.hub->counters().refused_replayed == 1);
}

// Guards against a part of a message that is taken for one, since its link was
// closed or reset behind it.
TEST_CASE("a part of a message is none whatever ends its link") {
    const bool by_reset = GENERATE(false, true);
    CAPTURE(by_reset);
    listening_hub fixture;
    hand_made_peer peer(fixture.bench, fixture.hub->port());
    const auto keys = peer.prove(fixture.bench);
    REQUIRE(
        fixture.bench.run_until([&] { return fixture.hub->connected("b"); }));
    peer.sends_half = true;
    peer.websocket->send(hand_made_peer::message(keys.dialer_to_listener, 0));
    if (by_reset) {
        peer.socket->reset();
    } else {
        peer.socket->close();
    }
    // What the hub still has to say meets the end first.
    fixture.hub->send("b", "text", bytes_of("one"));
    fixture.hub->send("b", "text", bytes_of("two"));
    REQUIRE(
        fixture.bench.run_until([&] { return !fixture.hub->connected("b"); }));
    CHECK(fixture.received == 0);
}

TEST_CASE("a message of another connection or an altered one is refused") {
    // A recorded message is put into a later connection, or changed under
    // way. Its tag was made with another key, or over other bytes.
    listening_hub fixture;
    io::link_bytes recorded;
    {
        hand_made_peer former(fixture.bench, fixture.hub->port());
        const auto keys = former.prove(fixture.bench);
        recorded = hand_made_peer::message(keys.dialer_to_listener, 0);
    }
    hand_made_peer peer(fixture.bench, fixture.hub->port());
    const auto keys = peer.prove(fixture.bench);
    SECTION("spliced") {
        peer.websocket->send(recorded);
    }
    SECTION("altered") {
        auto altered = hand_made_peer::message(keys.dialer_to_listener, 0);
        altered[altered.size() / 2] ^= 1U;
        peer.websocket->send(altered);
    }
    SECTION("reflected") {
        peer.websocket->send(
            hand_made_peer::message(keys.listener_to_dialer, 0));
    }
    REQUIRE(fixture.bench.run_until([&] { return peer.ended; }));
    CHECK(fixture.received == 0);
    CHECK(fixture.hub->counters().refused_unauthenticated == 1);
}

TEST_CASE("bytes that are no opening are refused, long ones unread") {
    // A scanner or a program of somebody else connects by mistake.
    listening_hub fixture;
    hand_made_peer peer(fixture.bench, fixture.hub->port());
    REQUIRE(fixture.bench.run_until([&] { return peer.open; }));
    SECTION("no CBOR") {
        peer.websocket->send(bytes_of("hello?"));
        REQUIRE(fixture.bench.run_until([&] { return peer.ended; }));
        CHECK(fixture.hub->counters().refused_malformed == 1);
    }
    SECTION("a message before the proof") {
        peer.websocket->send(hand_made_peer::message("key", 0));
        REQUIRE(fixture.bench.run_until([&] { return peer.ended; }));
        CHECK(fixture.hub->counters().refused_malformed == 1);
    }
    SECTION("too long") {
        peer.websocket->send(io::link_bytes(64 * 1024));
        REQUIRE(fixture.bench.run_until([&] { return peer.ended; }));
        CHECK(fixture.hub->counters().refused_too_large == 1);
    }
    CHECK(fixture.received == 0);
    CHECK(fixture.hub->counters().links_opened == 0);
}

TEST_CASE("a link that has gone silent is dropped and dialed again") {
    // Something between the two ends has lost track of the connection: what
    // is sent vanishes and no error comes. Users would wait for a hand-over
    // that nobody ever sees. Here the peer never answers a ping.
    hub_bench bench;
    io::message_hub_options options;
    options.self_name = "a";
    options.shared_key = "secret";
    options.keepalive = std::chrono::milliseconds(100);
    options.silence_limit = std::chrono::milliseconds(300);
    auto hub = bench.make_hub(options);
    REQUIRE(hub->listen("127.0.0.1", 0).has_value());
    hand_made_peer peer(bench, hub->port());
    peer.prove(bench);
    REQUIRE(bench.run_until([&] { return hub->connected("b"); }));
    // From here on it neither reads nor writes.
    peer.socket->stop_watching();
    REQUIRE(bench.run_until([&] { return !hub->connected("b"); }));
    CHECK(hub->counters().dropped_silent == 1);
}

TEST_CASE("a peer that does not read is dropped before it fills the memory") {
    // An instance is stopped for long while others go on telling it all that
    // changes. What waits for it is bounded, and it is told the whole state
    // when it comes back.
    hub_bench bench;
    io::message_hub_options options;
    options.self_name = "a";
    options.shared_key = "secret";
    options.silence_limit = std::chrono::hours(1);
    auto hub = bench.make_hub(options);
    REQUIRE(hub->listen("127.0.0.1", 0).has_value());
    hand_made_peer peer(bench, hub->port());
    peer.prove(bench);
    REQUIRE(bench.run_until([&] { return hub->connected("b"); }));
    peer.socket->stop_watching();
    const io::message_hub::payload large(1024 * 1024);
    constexpr int far_more_than_fits = 200;
    for (int sent = 0; sent < far_more_than_fits && hub->connected("b");
         ++sent) {
        hub->send("b", "text", large);
        bench.loop.run_once(false);
    }
    CHECK_FALSE(hub->connected("b"));
    CHECK(hub->counters().dropped_slow == 1);
}

TEST_CASE("a silent link is dropped although the process is stopped often") {
    // Guards against a dead link that keeps an instance from all news for as
    // long as its machine is stopped again and again.
    hub_bench bench;
    kernel::manual_clock clock;
    kernel::timer_service timers(clock);
    io::message_hub_options options;
    options.self_name = "a";
    options.shared_key = "secret";
    io::message_hub hub(bench.loop, timers, options);
    REQUIRE(hub.listen("127.0.0.1", 0).has_value());
    hand_made_peer peer(bench, hub.port());
    peer.prove(bench);
    REQUIRE(bench.run_until([&] { return hub.connected("b"); }));
    peer.socket->stop_watching();
    constexpr int most_stops = 20;
    int stops = 0;
    while (hub.connected("b") && stops < most_stops) {
        ++stops;
        clock.advance(std::chrono::milliseconds(1200));
        timers.fire_due();
        bench.loop.run_once(false);
    }
    CAPTURE(stops);
    CHECK_FALSE(hub.connected("b"));
    CHECK(hub.counters().dropped_silent == 1);
}

TEST_CASE("being stopped for long is not the peer's silence") {
    hub_bench bench;
    kernel::manual_clock clock;
    kernel::timer_service timers(clock);
    io::message_hub_options options;
    options.self_name = "a";
    options.shared_key = "secret";
    io::message_hub hub(bench.loop, timers, options);
    REQUIRE(hub.listen("127.0.0.1", 0).has_value());
    hand_made_peer peer(bench, hub.port());
    peer.prove(bench);
    REQUIRE(bench.run_until([&] { return hub.connected("b"); }));
    peer.socket->stop_watching();
    clock.advance(std::chrono::minutes(1));
    timers.fire_due();
    bench.loop.run_once(false);
    CHECK(hub.connected("b"));
}

TEST_CASE("strangers that keep connecting do not keep a peer out") {
    // Guards against instances that never hear of each other while something
    // opens connections to their port and says nothing.
    hub_bench bench;
    io::message_hub_options options;
    options.self_name = "a";
    options.shared_key = "secret";
    options.link_limit = 16;
    auto hub = bench.make_hub(options);
    REQUIRE(hub->listen("127.0.0.1", 0).has_value());
    std::vector<std::unique_ptr<io::stream_socket>> strangers;
    const auto connect = [&] {
        strangers.push_back(std::make_unique<io::stream_socket>(
            bench.loop, io::start_connect("127.0.0.1", hub->port()).value(),
            true, io::stream_socket_handlers{}));
    };
    for (std::size_t each = 0; each < options.link_limit; ++each) {
        connect();
    }
    const auto connecting = bench.timers.every(std::chrono::milliseconds(10),
                                               [&](time_point) { connect(); });
    REQUIRE(bench.run_until([&] { return strangers.size() > 20; }));
    auto peer = bench.make_hub("b");
    peer->connect("a", "127.0.0.1", hub->port());
    bench.run_until(
        [&] { return hub->connected("b") || strangers.size() > 520; });
    CHECK(hub->connected("b"));
}
