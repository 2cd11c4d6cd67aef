#include <catch2/catch.hpp>

#include "decision/crowding_profile.hpp"
#include "scheduler_fixture.hpp"
#include "waxwing_replay/comparison.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// A server of three slots that makes what begins as the third take 1.7 times as
// long, as it was measured, kept busy: as one request ends, another begins.
class busy_server {
public:
    explicit busy_server(scheduler_fixture& f) : f_(f) {}

    // Whether three requests ever ran there at once.
    bool turn(int times) {
        bool full = false;
        for (int i = 0; i < times; ++i) {
            f_.send(f_.request(next_));
            note_started(next_++);
            full = full || running_.size() == 3;
            end_first();
        }
        return full;
    }

private:
    struct running_request {
        request_id id;
        duration takes;
        time_point ends;
    };

    void note_started(request_id id) {
        for (const start_request& each : f_.all<start_request>()) {
            const bool third = running_.size() == 2;
            const duration takes = third ? 34ms : 20ms;
            running_.push_back({each.request, takes, f_.now + takes});
        }
        static_cast<void>(id);
    }

    void end_first() {
        if (running_.size() < 2) {
            return;
        }
        auto first = running_.begin();
        for (auto it = running_.begin(); it != running_.end(); ++it) {
            first = it->ends < first->ends ? it : first;
        }
        const running_request ended = *first;
        running_.erase(first);
        f_.now = std::max(f_.now, ended.ends);
        request_finished finished;
        finished.request = ended.id;
        finished.service_time = ended.takes;
        const auto told = static_cast<unsigned>(running_.size()) + 1;
        finished.load = backend_load{told, 0, 3, 1.0};
        f_.send(finished);
        note_started(0);
    }

    scheduler_fixture& f_;
    request_id next_ = 1;
    std::vector<running_request> running_;
};

} // namespace

TEST_CASE("work is compared by how many ran when it began") {
    // Of three requests on a server of three slots the last takes 1.7 times as
    // long, however many run when it ends. Counted by that, many of the quick
    // ones pass for crowded ones: the servers look quick when full, are filled,
    // and all callers wait longer while less is done.
    crowding_profile profile;
    for (int i = 0; i < 60; ++i) {
        profile.add(3, 3, 0.53);
    }
    CHECK(profile.best_count(3) == 2);
    scheduler_fixture f(1, 3, 1);
    busy_server server(f);
    server.turn(400);
    CHECK_FALSE(server.turn(400));
}

TEST_CASE("what was learned of full servers outlasts minutes without them") {
    // Once known to be slow, full servers are seen no more. Forgotten after
    // some thousand answers, every server was filled at once, and for four
    // seconds each second answer was late.
    crowding_profile profile;
    for (int i = 0; i < 100; ++i) {
        profile.add(3, 3, 0.53);
    }
    for (int i = 0; i < 50000; ++i) {
        profile.add(2, 3, 0.0);
    }
    CHECK(profile.best_count(3) == 2);
    for (int i = 0; i < 200000; ++i) {
        profile.add(2, 3, 0.0);
    }
    CHECK(profile.best_count(3) == 3);
}

TEST_CASE("servers that do not slow down are filled") {
    crowding_profile profile;
    for (int i = 0; i < 100; ++i) {
        profile.add(3, 3, i % 2 == 0 ? 0.1 : -0.1);
    }
    CHECK(profile.best_count(3) == 3);
}

TEST_CASE("instances that have just started soon know their servers") {
    // All lost power, and everybody comes back at once: more than the servers
    // can do. Until it is known that full servers are slow, each is filled.
    double in_time = 0;
    constexpr int seeds = 8;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto load = replay::make_workload(
            "restart", replay::size_of("cooperative-shared"),
            static_cast<std::uint64_t>(seed), 6s);
        in_time +=
            replay::run_one(load, replay::waxwing_policy_name, {}).in_time;
    }
    CHECK(in_time / seeds > 0.95);
}
