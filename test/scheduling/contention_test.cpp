#include <catch2/catch.hpp>

#include "decision/contention_profile.hpp"
#include "scheduler_fixture.hpp"
#include "waxwing_replay/comparison.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// A server with three slots on which a request that starts third takes 1.7
// times as long, as measured on real servers. It is kept busy: whenever a
// request ends, another one starts.
class busy_server {
public:
    explicit busy_server(scheduler_fixture& f) : f_(f) {}

    // Sends requests and returns whether three ever ran at the same time.
    bool run(int requests) {
        bool full = false;
        for (int i = 0; i < requests; ++i) {
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
        const auto reported = static_cast<unsigned>(running_.size()) + 1;
        finished.load = backend_load{reported, 0, 3, 1.0};
        f_.send(finished);
        note_started(0);
    }

    scheduler_fixture& f_;
    request_id next_ = 1;
    std::vector<running_request> running_;
};

} // namespace

TEST_CASE("service times are attributed to the concurrency at the start") {
    // On a server with three slots, a request that starts third takes 1.7 times
    // as long, whatever the concurrency at its end. If the concurrency at the
    // end counted, many fast requests would be attributed to a full server.
    // Full servers would look fast and be filled, which reduces the throughput
    // and makes callers wait longer.
    contention_profile profile;
    for (int i = 0; i < 60; ++i) {
        profile.add(3, 3, 0.53);
    }
    CHECK(profile.best_concurrency(3) == 2);
    scheduler_fixture f(1, 3, 1);
    busy_server server(f);
    server.run(400);
    CHECK_FALSE(server.run(400));
}

TEST_CASE("a known slowdown outlasts minutes without full servers") {
    // Servers that are slow when full are no longer filled, so that there are
    // no new observations. When the slowdown was forgotten after some thousand
    // answers, all servers were filled at once, and for four seconds every
    // second answer was late.
    contention_profile profile;
    for (int i = 0; i < 100; ++i) {
        profile.add(3, 3, 0.53);
    }
    for (int i = 0; i < 50000; ++i) {
        profile.add(2, 3, 0.0);
    }
    CHECK(profile.best_concurrency(3) == 2);
    for (int i = 0; i < 200000; ++i) {
        profile.add(2, 3, 0.0);
    }
    CHECK(profile.best_concurrency(3) == 3);
}

TEST_CASE("servers without contention are filled") {
    contention_profile profile;
    for (int i = 0; i < 100; ++i) {
        profile.add(3, 3, i % 2 == 0 ? 0.1 : -0.1);
    }
    CHECK(profile.best_concurrency(3) == 3);
}

TEST_CASE("restarted instances soon learn the slowdown of full servers") {
    // All instances restart after a power loss, and all callers return at once
    // and overload the servers. Until instances know that full servers are
    // slow, they fill each server, and answers are late.
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
