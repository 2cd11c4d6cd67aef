#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <thread>

#include <waxwingvale/kernel/clock.hpp>

#include "entry/crash_guard.hpp"
#include "entry/suspicion_codec.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

io::message_hub_options hub_options(const std::string& name) {
    io::message_hub_options options;
    options.self_name = name;
    options.shared_key = "secret";
    return options;
}

// The owner of all slots in a fleet that is no full mesh, and the one of its
// peers that is there, which has asked it for slots.
struct owner_and_asker {
    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};
    io::message_hub hub{loop, timers, hub_options("owner")};
    io::message_hub asker{loop, timers, hub_options("asker")};
    program::metrics metrics;
    entry::crash_guard guard{"owner", hub, timers,
                             metrics.add_gauge("suspicions", ""),
                             metrics.add_counter("words", "")};
    std::size_t messages = 0;
    std::map<std::uint64_t, decision::suspicion_state> told; // by fingerprint

    owner_and_asker() {
        asker.on_message(entry::suspicion_kind,
                         [this](const auto&, const auto& bytes) {
                             ++messages;
                             const auto read = entry::decode_suspicions(bytes);
                             for (const auto& word : read.value().words) {
                                 told[word.fingerprint.value] = word.state;
                             }
                         });
        asker.listen("127.0.0.1", 0).value();
        hub.connect("asker", "127.0.0.1", asker.port());
        view now;
        for (int each = 0; each < 100; ++each) {
            member one;
            one.id = {"other-" + std::to_string(each), 1};
            now.members.push_back(one);
        }
        decision::service_ownerships owners;
        owners["slate-view"].owners.push_back({{"owner", 1}, "sea", {}, 0});
        guard.follow(now, owners);
        const auto linked = [this] { return hub.connected("asker"); };
        while (!linked()) {
            loop.run_once(true);
        }
        guard.on_slots_asked("asker");
        go_on(100ms);
        messages = 0;
    }

    void go_on(duration time) {
        const auto until = timers.now() + time;
        const auto turning = timers.every(1ms, [](time_point) {});
        while (timers.now() < until) {
            loop.run_once(true);
        }
    }

    void answer() {
        entry::backend_answer answered;
        answered.sign = decision::server_sign::answered;
        guard.on_sign({"i-1", 1, timers.now(), answered});
    }

    void lose(std::uint64_t number) {
        entry::backend_answer lost;
        lost.sign = decision::server_sign::connection_lost;
        guard.on_lost({{number}, {number + 1'000'000}},
                      {"i-1", 1, timers.now(), lost}, false);
    }
};

} // namespace

TEST_CASE("hundreds of lost answers are told in few messages") {
    // Guards against an owner of slots that has a message to send to each of a
    // hundred peers for each answer that is lost: it gives no slots meanwhile,
    // its peers take it for gone, and the fleet comes to a stop.
    owner_and_asker f;
    const auto begun = f.timers.now();
    constexpr std::uint64_t lost = 200;
    for (std::uint64_t each = 1; each <= lost; ++each) {
        f.lose(each);
        f.go_on(2ms);
    }
    const auto periods = (f.timers.now() - begun) / 100ms;
    f.go_on(300ms);
    CHECK(f.told.size() == 2 * lost);
    CHECK(f.messages <= static_cast<std::size_t>(periods) + 2);
}

TEST_CASE("an instance that asks for a slot hears of suspects before") {
    // Guards against a copy of a suspect that is sent on a slot which was given
    // before word of it came.
    owner_and_asker f;
    f.lose(1);
    f.guard.on_slots_asked("asker");
    f.hub.send("asker", "grant", {});
    bool granted = false;
    f.asker.on_message("grant",
                       [&](const auto&, const auto&) { granted = true; });
    while (!granted) {
        f.loop.run_once(true);
    }
    CHECK(f.told.count(1) == 1);
}

TEST_CASE("a request that is soon cleared is news to nobody") {
    // Guards against a server that forgets idle connections, each of which
    // loses an answer, and would be told of to a hundred instances twice.
    owner_and_asker f;
    f.lose(1);
    f.go_on(5ms);
    f.answer();
    f.go_on(500ms);
    CHECK(f.messages == 0);
}

TEST_CASE("who was told of a suspect hears that it is none") {
    // Guards against copies that may only run alone at an instance which was
    // told all that is known when it asked, a moment before the request was
    // cleared.
    owner_and_asker f;
    f.lose(1);
    entry::suspicion_message question;
    question.asks = true;
    f.asker.send("owner", entry::suspicion_kind, entry::encode(question));
    f.go_on(30ms);
    REQUIRE(f.told.count(1) == 1);
    f.answer();
    f.go_on(1200ms);
    CHECK(f.told.at(1) == decision::suspicion_state::cleared);
}
