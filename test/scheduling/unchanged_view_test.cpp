#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "scheduler_fixture.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Two schedulers that get the same events, and one of them also unchanged
// views. Checks that both decide the same.
class scheduler_pair {
public:
    scheduler_pair(unsigned seed, unsigned own_servers)
        : random_(seed),
          with_targets_(seed % 2 == 0),
          reference_(4, 2, own_servers),
          repeated_(4, 2, own_servers) {
        set_budgets(reference_);
        set_budgets(repeated_);
        send_both(peer_reachability{"entry-1", true});
    }

    void step() {
        // At least scheduling_policy::recheck_interval, so that queued requests
        // consider all slots again even without a new view.
        reference_.now += duration(10000 + below(30000));
        repeated_.now = reference_.now;
        answer_asks();
        send_both(time_passed{});
        repeat_view();
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
            send_both(
                probe_ended{random_server(), below(5) != 0, random_load()});
        }
    }

    std::size_t started() const { return started_; }
    std::size_t refused() const { return refused_; }
    std::size_t lent() const { return lent_; }
    std::size_t borrowed() const { return borrowed_; }
    // The scheduler without repeated views.
    const scheduler_fixture& reference() const { return reference_; }
    // The scheduler that also gets unchanged views.
    const scheduler_fixture& repeated() const { return repeated_; }

private:
    static void set_budgets(scheduler_fixture& fixture) {
        configuration config = *fixture.view.config;
        config.services[0].budgets.repeats = 0.1;
        config.services[0].budgets.repeat_extra = 4;
        fixture.view.config = std::make_shared<const configuration>(config);
        fixture.apply_view();
    }

    unsigned below(unsigned bound) { return random_() % bound; }
    std::string random_server() {
        return std::string(1, static_cast<char>('a' + below(4)));
    }
    backend_load random_load() {
        return {below(3), 0, 2, below(4) == 0 ? 4.0 : 1.0};
    }

    // Sends the same view again, with a copy of the configuration, since every
    // newer configuration is a new object.
    void repeat_view() {
        repeated_.view.config =
            std::make_shared<const configuration>(*repeated_.view.config);
        repeated_.apply_view();
        CHECK(without_wakes(repeated_).empty());
    }

    static std::vector<scheduler_action>
    without_wakes(const scheduler_fixture& fixture) {
        std::vector<scheduler_action> actions;
        for (const scheduler_action& each : fixture.actions) {
            if (!std::holds_alternative<wake_at>(each)) {
                actions.push_back(each);
            }
        }
        return actions;
    }

    void send_both(const scheduler_event& event) {
        reference_.send(event);
        repeated_.send(event);
        REQUIRE(without_wakes(reference_) == without_wakes(repeated_));
        for (const start_request& each : reference_.all<start_request>()) {
            running_[each.request] = reference_.now;
            ++started_;
        }
        for (const ask_slots& each : reference_.all<ask_slots>()) {
            asks_.push_back(each);
        }
        for (const give_grant& each : reference_.all<give_grant>()) {
            granted_.push_back(each);
            ++lent_;
        }
        refused_ += reference_.all<refuse_request>().size();
    }

    void arrive() {
        request_arrived event = reference_.request(next_++, duration(200000));
        event.attempt = below(5) == 0 ? 2 : 1;
        event.tenant = below(2) == 0 ? "league" : "desk";
        if (with_targets_) {
            event.target = reference_.now + duration(100000);
        }
        send_both(event);
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
        ended.service_time = reference_.now - first->second;
        ended.load = random_load();
        running_.erase(first);
        send_both(ended);
    }

    // The other owner grants a slot or answers that it has none, but never
    // leaves a request for slots unanswered.
    void answer_asks() {
        for (const ask_slots& ask : std::exchange(asks_, {})) {
            const bool lends = !ask.waiting.empty() && below(2) == 0;
            if (lends) {
                grant_received event;
                event.peer = "entry-1";
                event.grant = next_++;
                event.request = ask.waiting.front().request;
                event.backend_server = "d";
                event.lease = duration(1000000);
                send_both(event);
                ++borrowed_;
            } else {
                send_both(ask_answered{"entry-1", below(2), true, {}});
            }
        }
    }

    void peer_asks() {
        slots_asked ask;
        ask.peer = "entry-1";
        waiting_request waiting;
        static_cast<request_needs&>(waiting) = reference_.request(0);
        waiting.request = next_++;
        waiting.time_left = duration(200000);
        ask.waiting = {waiting};
        send_both(ask);
    }

    void peer_returns() {
        if (granted_.empty()) {
            return;
        }
        grant_use use;
        use.service_time = duration(20000);
        send_both(grant_returned{"entry-1", granted_.front().grant, use});
        granted_.erase(granted_.begin());
    }

    std::mt19937 random_;
    bool with_targets_;
    scheduler_fixture reference_;
    scheduler_fixture repeated_;
    request_id next_ = 1;
    std::map<request_id, time_point> running_;
    std::vector<give_grant> granted_;
    std::vector<ask_slots> asks_;
    std::size_t started_ = 0;
    std::size_t refused_ = 0;
    std::size_t lent_ = 0;
    std::size_t borrowed_ = 0;
};

} // namespace

TEST_CASE("an unchanged view changes no decision") {
    // New views, caused by new configurations or updates of peers, arrive many
    // times a second. Measurements, pauses, waiting times and grants must not
    // start again with each.
    std::size_t started = 0;
    std::size_t refused = 0;
    std::size_t lent = 0;
    std::size_t borrowed = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        const unsigned own_servers = 2 * (seed % 3); // none, a half, all
        CAPTURE(seed, own_servers);
        scheduler_pair pair(seed, own_servers);
        for (int i = 0; i < 500; ++i) {
            pair.step();
        }
        CHECK(pair.reference().scheduler().slots() ==
              pair.repeated().scheduler().slots());
        CHECK(pair.reference().scheduler().queued() ==
              pair.repeated().scheduler().queued());
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
