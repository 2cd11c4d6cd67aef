#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

#include "scheduler_fixture.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

constexpr unsigned servers = 4;
constexpr unsigned slots = 2;
constexpr unsigned own_servers = 2;

// Sends random events to one scheduler, and checks its actions against an
// independent record of waiting requests, running attempts and grants.
class random_event_test {
public:
    random_event_test() : fixture_(servers, slots, own_servers) {
        fixture_.link_peer();
    }

    void step() {
        fixture_.now += duration(*rc::gen::inRange(0, 30000));
        switch (*rc::gen::inRange(0, 13)) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive();
            break;
        case 4:
        case 5:
        case 6:
            finish_one();
            break;
        case 7:
            cancel_one();
            break;
        case 8:
            peer_asks();
            break;
        case 9:
            peer_grants();
            break;
        case 10:
            peer_returns();
            break;
        case 11:
            change_view();
            break;
        case 12:
            probe_ends();
            break;
        }
    }

    // Finishes all attempts, returns all grants, lets all deadlines pass, and
    // checks that nothing is left over.
    void drain() {
        while (!running_.empty()) {
            finish(running_.begin()->first, attempt_verdict::answered);
        }
        while (!granted_.empty()) {
            return_to_owner(granted_.begin()->first);
        }
        fixture_.now += duration(100000000);
        deliver(time_passed{});
        while (!running_.empty()) {
            finish(running_.begin()->first, attempt_verdict::answered);
        }
        RC_ASSERT(fixture_.scheduler().queued() == 0U);
        RC_ASSERT(fixture_.scheduler().in_flight() == 0U);
        for (const slot_report& report : fixture_.scheduler().slots()) {
            RC_ASSERT(report.in_flight == 0U);
        }
        RC_ASSERT(waiting_.empty());
    }

private:
    struct attempt {
        std::string server;
        std::string from_peer;
        grant_id grant;
    };

    void arrive() {
        request_arrived event = fixture_.request(
            next_request_, duration(*rc::gen::inRange(0, 200000)));
        event.tenant = *rc::gen::element<std::string>("league", "desk", "new");
        event.isolated = *rc::gen::inRange(0, 10) == 0;
        event.only_if_spare = *rc::gen::inRange(0, 10) == 0;
        if (*rc::gen::inRange(0, 4) == 0) {
            event.excluded = {"a"};
        }
        if (*rc::gen::arbitrary<bool>()) {
            event.nature = request_nature::at_most_once;
        }
        if (*rc::gen::arbitrary<bool>()) {
            event.target =
                fixture_.now + duration(*rc::gen::inRange(0, 150000));
        }
        waiting_[next_request_] = event;
        ++next_request_;
        deliver(event);
    }

    void finish_one() {
        if (running_.empty()) {
            return;
        }
        auto chosen = running_.begin();
        std::advance(chosen,
                     *rc::gen::inRange<std::size_t>(0, running_.size()));
        finish(chosen->first,
               static_cast<attempt_verdict>(*rc::gen::inRange(0, 7)));
    }

    void finish(request_id request, attempt_verdict verdict) {
        const attempt ended = running_.at(request);
        running_.erase(request);
        request_finished event;
        event.request = request;
        event.verdict = verdict;
        event.service_time = duration(20000);
        if (*rc::gen::arbitrary<bool>()) {
            event.load = backend_load{1, 0, slots, random_slowness()};
        }
        deliver(event);
        if (!ended.from_peer.empty()) {
            RC_ASSERT(returned_.count(ended.grant) == 1U);
        }
    }

    void cancel_one() {
        if (waiting_.empty()) {
            return;
        }
        const request_id request = waiting_.begin()->first;
        waiting_.erase(request);
        deliver(request_cancelled{request});
    }

    static double random_slowness() {
        return *rc::gen::element(0.5, 1.0, 4.0, 30.0);
    }

    void peer_asks() {
        slots_asked event;
        event.peer = "entry-1";
        event.complete = *rc::gen::arbitrary<bool>();
        event.answer_required = *rc::gen::arbitrary<bool>();
        const auto count = *rc::gen::inRange(0, 4);
        for (int i = 0; i < count; ++i) {
            waiting_request waiting;
            waiting.request = *rc::gen::inRange<request_id>(1000, 1010);
            waiting.time_left = duration(*rc::gen::inRange(0, 200000));
            if (*rc::gen::arbitrary<bool>()) {
                waiting.target_left =
                    duration(*rc::gen::inRange(-20000, 200000));
            }
            waiting.isolated = *rc::gen::inRange(0, 10) == 0;
            waiting.only_if_spare = *rc::gen::inRange(0, 10) == 0;
            event.waiting.push_back(waiting);
        }
        event.withdrawn = {*rc::gen::inRange<request_id>(1000, 1010)};
        deliver(event);
    }

    void peer_trades_repeats() {
        deliver(repeats_asked{"entry-1", 1, *rc::gen::element(0.0, 1.0, 1e6)});
        deliver(repeats_given{"entry-1", asked_round_,
                              *rc::gen::element(0.0, 0.4, 3.0)});
    }

    void probe_ends() {
        probe_ended event;
        event.backend_server =
            *rc::gen::element<std::string>("a", "b", "c", "gone");
        event.answered = *rc::gen::arbitrary<bool>();
        if (event.answered) {
            event.load = backend_load{1, 0, slots, random_slowness()};
        }
        deliver(event);
    }

    void peer_grants() {
        const grant_id grant = next_grant_++;
        const std::string server =
            *rc::gen::element<std::string>("c", "d", "gone");
        const request_id request =
            waiting_.empty() ? 0 : waiting_.begin()->first;
        deliver(grant_received{"entry-1", grant, request, server,
                               duration(1000000), duration(0)});
        for (const start_request& started : fixture_.all<start_request>()) {
            if (started.from_peer == "entry-1") {
                RC_ASSERT(started.grant == grant);
                RC_ASSERT(started.backend_server == server);
                return;
            }
        }
        RC_ASSERT(returned_.count(grant) == 1U);
    }

    void peer_returns() {
        if (!granted_.empty()) {
            return_to_owner(granted_.begin()->first);
        }
    }

    void return_to_owner(grant_id grant) {
        granted_.erase(grant);
        grant_returned event;
        event.peer = "entry-1";
        event.grant = grant;
        if (*rc::gen::arbitrary<bool>()) {
            event.use = grant_use();
            event.use->service_time = duration(20000);
        }
        deliver(event);
    }

    void change_view() {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            deliver(peer_reachability{"entry-1", *rc::gen::arbitrary<bool>()});
            break;
        case 1:
            deliver(time_passed{});
            break;
        case 2:
            fixture_.view.beliefs.clear();
            for (const char* name : {"a", "b", "c"}) {
                fixture_.view.beliefs.push_back(
                    {name,
                     1,
                     static_cast<backend_state>(*rc::gen::inRange(0, 3)),
                     belief_source::platform_list,
                     "platform",
                     {}});
            }
            deliver(fixture_.view);
            break;
        default:
            fixture_.view.fresh = *rc::gen::arbitrary<bool>();
            deliver(fixture_.view);
            break;
        }
    }

    void deliver(const scheduler_event& event) {
        expire_leases();
        fixture_.send(event);
        for (const scheduler_action& action : fixture_.actions) {
            std::visit([this](const auto& each) { check(each); }, action);
        }
    }

    bool vetoed(const std::string& server) const {
        for (const backend_belief& belief : fixture_.view.beliefs) {
            if (belief.backend_server == server) {
                return belief.state != backend_state::serving;
            }
        }
        return false;
    }

    // Mirrors the scheduler, which ends expired leases before it handles an
    // event.
    void expire_leases() {
        for (auto it = granted_.begin(); it != granted_.end();) {
            const bool expired = it->second.second <= fixture_.now;
            it = expired ? granted_.erase(it) : std::next(it);
        }
    }

    unsigned in_use(const std::string& server) const {
        unsigned used = 0;
        for (const auto& each : running_) {
            used += each.second.server == server ? 1 : 0;
        }
        for (const auto& each : granted_) {
            used += each.second.first == server ? 1 : 0;
        }
        return used;
    }

    void check(const start_request& action) {
        const auto waited = waiting_.find(action.request);
        RC_ASSERT(waited != waiting_.end());
        const request_arrived& request = waited->second;
        RC_ASSERT(request.deadline > fixture_.now);
        RC_ASSERT(!vetoed(action.backend_server));
        for (const std::string& excluded : request.excluded) {
            RC_ASSERT(excluded != action.backend_server);
        }
        RC_ASSERT(fixture_.view.fresh ||
                  request.nature == request_nature::retriable);
        if (action.from_peer.empty()) {
            RC_ASSERT(in_use(action.backend_server) < slots);
            if (request.isolated) {
                RC_ASSERT(in_use(action.backend_server) == 0U);
            }
        }
        running_[action.request] = {action.backend_server, action.from_peer,
                                    action.grant};
        waiting_.erase(waited);
    }

    void check(const refuse_request& action) {
        RC_ASSERT(waiting_.erase(action.request) == 1U);
        RC_ASSERT(action.retry_after > duration::zero());
    }

    void check(const expire_request& action) {
        const auto waited = waiting_.find(action.request);
        RC_ASSERT(waited != waiting_.end());
        RC_ASSERT(waited->second.deadline <= fixture_.now);
        waiting_.erase(waited);
    }

    void check(const give_grant& action) {
        RC_ASSERT(action.backend_server == "a" || action.backend_server == "b");
        RC_ASSERT(!vetoed(action.backend_server));
        RC_ASSERT(in_use(action.backend_server) < slots);
        const bool unused_number =
            granted_
                .emplace(action.grant,
                         std::make_pair(action.backend_server,
                                        fixture_.now + action.lease))
                .second;
        RC_ASSERT(unused_number);
    }

    void check(const return_grant& action) {
        RC_ASSERT(returned_.insert(action.grant).second);
    }

    void check(const wake_at& action) { RC_ASSERT(action.when > fixture_.now); }

    void check(const give_repeats& action) { RC_ASSERT(action.amount >= 0); }

    void check(const ask_repeats& action) {
        RC_ASSERT(action.wanted >= 1);
        asked_round_ = action.round;
    }

    void check(const ask_slots& /*action*/) {}
    void check(const answer_ask& /*action*/) {}

    scheduler_fixture fixture_;
    std::uint64_t asked_round_ = 0;
    request_id next_request_ = 1;
    grant_id next_grant_ = 1;
    std::map<request_id, request_arrived> waiting_;
    std::map<request_id, attempt> running_;
    // Slots granted to the peer: backend server and end of the lease.
    std::map<grant_id, std::pair<std::string, time_point>> granted_;
    std::set<grant_id> returned_; // by the scheduler to the peer
};

} // namespace

TEST_CASE("slots and requests are accounted for in any order of events") {
    // Answers, cancellations, grants and view changes arrive in any order. If
    // one were miscounted, slots would be lost for good or used twice, or calls
    // would never end.
    const bool holds = rc::check("accounting holds", [] {
        random_event_test test;
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            test.step();
        }
        test.drain();
    });
    CHECK(holds);
}
