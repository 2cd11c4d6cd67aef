#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "scheduler_fixture.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Two schedulers that get the same events; one of them also gets views that
// say nothing new. Both are to decide the same.
class twins {
public:
    twins(unsigned seed, unsigned own_servers)
        : random_(seed),
          with_targets_(seed % 2 == 0),
          plain_(4, 2, own_servers),
          told_(4, 2, own_servers) {
        budgets(plain_);
        budgets(told_);
        both(peer_reachability{"entry-1", true});
    }

    void step() {
        // So long that what waits looks at all slots again by itself.
        plain_.now += duration(10000 + below(30000));
        told_.now = plain_.now;
        answer_asks();
        both(time_passed{});
        tell_nothing_new();
        const unsigned kind = below(10);
        if (kind < 4) {
            arrive();
        } else if (kind < 7) {
            finish_one();
        } else if (kind == 7) {
            peer_asks();
        } else if (kind == 8) {
            peer_returns();
        } else {
            both(probe_ended{server(), below(5) != 0, some_load()});
        }
    }

    std::size_t started() const { return started_; }
    std::size_t refused() const { return refused_; }
    std::size_t lent() const { return lent_; }
    std::size_t borrowed() const { return borrowed_; }
    const scheduler_fixture& plain() const { return plain_; }
    const scheduler_fixture& told() const { return told_; }

private:
    static void budgets(scheduler_fixture& of) {
        configuration config = *of.view.config;
        config.services[0].budgets.repeats = 0.1;
        config.services[0].budgets.repeat_extra = 4;
        of.view.config = std::make_shared<const configuration>(config);
        of.apply_view();
    }

    unsigned below(unsigned bound) { return random_() % bound; }
    std::string server() {
        return std::string(1, static_cast<char>('a' + below(4)));
    }
    backend_load some_load() {
        return {below(3), 0, 2, below(4) == 0 ? 4.0 : 1.0};
    }

    // A configuration of its own, as each newer one is, that says the same.
    void tell_nothing_new() {
        told_.view.config =
            std::make_shared<const configuration>(*told_.view.config);
        told_.apply_view();
        CHECK(without_wakes(told_).empty());
    }

    static std::vector<scheduler_action>
    without_wakes(const scheduler_fixture& of) {
        std::vector<scheduler_action> actions;
        for (const scheduler_action& each : of.actions) {
            if (!std::holds_alternative<wake_at>(each)) {
                actions.push_back(each);
            }
        }
        return actions;
    }

    void both(const scheduler_event& event) {
        plain_.send(event);
        told_.send(event);
        REQUIRE(without_wakes(plain_) == without_wakes(told_));
        for (const start_request& each : plain_.all<start_request>()) {
            running_[each.request] = plain_.now;
            ++started_;
        }
        for (const ask_slots& each : plain_.all<ask_slots>()) {
            asks_.push_back(each);
        }
        for (const give_grant& each : plain_.all<give_grant>()) {
            given_.push_back(each);
            ++lent_;
        }
        refused_ += plain_.all<refuse_request>().size();
    }

    void arrive() {
        request_arrived made = plain_.request(next_++, duration(200000));
        made.attempt = below(5) == 0 ? 2 : 1;
        made.tenant = below(2) == 0 ? "league" : "desk";
        if (with_targets_) {
            made.target = plain_.now + duration(100000);
        }
        both(made);
    }

    void finish_one() {
        if (running_.empty()) {
            return;
        }
        const auto first = running_.begin();
        request_finished ended;
        ended.request = first->first;
        const unsigned how = below(12);
        ended.verdict = how == 0   ? attempt_verdict::shed
                        : how == 1 ? attempt_verdict::failed
                        : how == 2 ? attempt_verdict::timed_out
                                   : attempt_verdict::answered;
        ended.service_time = plain_.now - first->second;
        ended.load = some_load();
        running_.erase(first);
        both(ended);
    }

    // The other owner lends a slot, or has none, but is never silent.
    void answer_asks() {
        for (const ask_slots& asked : std::exchange(asks_, {})) {
            const bool lends = !asked.waiting.empty() && below(2) == 0;
            if (lends) {
                grant_received given;
                given.peer = "entry-1";
                given.grant = next_++;
                given.request = asked.waiting.front().request;
                given.backend_server = "d";
                given.lease = duration(1000000);
                both(given);
                ++borrowed_;
            } else {
                both(ask_answered{"entry-1", below(2), true, {}});
            }
        }
    }

    void peer_asks() {
        slots_asked asked;
        asked.peer = "entry-1";
        waiting_request waits;
        static_cast<request_needs&>(waits) = plain_.request(0);
        waits.request = next_++;
        waits.time_left = duration(200000);
        asked.waiting = {waits};
        both(asked);
    }

    void peer_returns() {
        if (given_.empty()) {
            return;
        }
        grant_use use;
        use.service_time = duration(20000);
        both(grant_returned{"entry-1", given_.front().grant, use});
        given_.erase(given_.begin());
    }

    std::mt19937 random_;
    bool with_targets_;
    scheduler_fixture plain_;
    scheduler_fixture told_;
    request_id next_ = 1;
    std::map<request_id, time_point> running_;
    std::vector<give_grant> given_;
    std::vector<ask_slots> asks_;
    std::size_t started_ = 0;
    std::size_t refused_ = 0;
    std::size_t lent_ = 0;
    std::size_t borrowed_ = 0;
};

} // namespace

TEST_CASE("a view that says nothing new changes no decision") {
    // Newer configurations and news of others come many times a second. What
    // is learned, paused, waited for or granted must not begin anew with each.
    std::size_t started = 0;
    std::size_t refused = 0;
    std::size_t lent = 0;
    std::size_t borrowed = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        const unsigned own_servers = 2 * (seed % 3); // none, a half, all
        CAPTURE(seed, own_servers);
        twins pair(seed, own_servers);
        for (int i = 0; i < 500; ++i) {
            pair.step();
        }
        CHECK(pair.plain().scheduler().slots() ==
              pair.told().scheduler().slots());
        CHECK(pair.plain().scheduler().queued() ==
              pair.told().scheduler().queued());
        started += pair.started();
        refused += pair.refused();
        lent += pair.lent();
        borrowed += pair.borrowed();
    }
    CHECK(started > 1000);
    CHECK(refused > 100);
    CHECK(lent > 100);
    CHECK(borrowed > 100);
}
