#include <catch2/catch.hpp>
#include <map>

#include "scheduler_fixture.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// An owner of one slot, which is in use, with one waiting request.
scheduler_fixture busy_owner() {
    scheduler_fixture f(2, 1, 1);
    f.link_peer();
    f.arrive(1);
    f.arrive(2);
    return f;
}

// A grant by the peer of a slot on the server, for a request of this instance.
grant_received grant_of(const std::string& server, request_id request) {
    return {"entry-1", 7, request, server, 1s, 0ms};
}

// An ask of the peer for slots for its requests.
slots_asked ask_of(std::vector<request_id> requests,
                   duration time_left = duration(100000)) {
    slots_asked ask;
    ask.peer = "entry-1";
    for (const request_id request : requests) {
        waiting_request waiting;
        waiting.request = request;
        waiting.tenant = "league";
        waiting.request_class = "reads";
        waiting.nature = request_nature::retriable;
        waiting.time_left = time_left;
        ask.waiting.push_back(waiting);
    }
    return ask;
}

// An instance without slots, linked with the only owner of all.
scheduler_fixture borrower_of_one_owner() {
    scheduler_fixture f(2, 4, 0);
    f.view.owners.owners.erase(f.view.owners.owners.begin());
    f.apply_view();
    f.link_peer();
    return f;
}

// Passes time until a request starts on a share of the owner's slots, since it
// does not answer, or 150 ms at most.
void pass_until_started(scheduler_fixture& f) {
    for (int i = 0; i < 10 && f.all<start_request>().empty(); ++i) {
        f.pass(15ms);
    }
}

} // namespace

TEST_CASE("an owner whose slots are all in use asks the other owner") {
    const scheduler_fixture f = busy_owner();
    REQUIRE(f.all<ask_slots>().size() == 1);
    CHECK(f.all<ask_slots>()[0].peer == "entry-1");
    REQUIRE(f.all<ask_slots>()[0].waiting.size() == 1);
    CHECK(f.all<ask_slots>()[0].waiting[0].request == 2);
}

TEST_CASE("a granted slot is used and returned when the request ends") {
    scheduler_fixture f = busy_owner();
    f.now += 2ms;
    f.send(grant_of("b", 2));
    REQUIRE(f.all<start_request>().size() == 1);
    CHECK(f.all<start_request>()[0].backend_server == "b");
    CHECK(f.all<start_request>()[0].grant == 7);
    f.now += 20ms;
    f.finish(2);
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK(f.all<return_grant>()[0].grant == 7);
    CHECK(f.all<return_grant>()[0].use);
}

TEST_CASE("a grant that is no longer needed is returned at once") {
    scheduler_fixture f = busy_owner();
    f.finish(1);
    f.now += 2ms;
    f.send(grant_of("b", 2));
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK(!f.all<return_grant>()[0].use);
}

TEST_CASE("a grant received after a late wake-up is not used") {
    // The process is suspended after it has sent an ask, and reads the grant
    // half a second later. The owner may have granted the slot to another
    // instance since, so that the backend server would refuse the request.
    scheduler_fixture f = busy_owner();
    f.now += 500ms;
    f.send(grant_of("b", 2));
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK(!f.all<return_grant>()[0].use);
}

TEST_CASE("an owner grants an idle slot only once") {
    scheduler_fixture f(2, 1, 1);
    f.link_peer();
    f.send(ask_of({21, 22}));
    REQUIRE(f.all<give_grant>().size() == 1);
    CHECK(f.all<give_grant>()[0].backend_server == "a");
    CHECK(f.all<give_grant>()[0].request == 21);
    f.arrive(1);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("the slot of a dead peer is freed when its lease ends") {
    // A peer dies while it uses a granted slot. Without an end of the lease,
    // the slot would be lost until the owner itself restarts.
    scheduler_fixture f(1, 1, 1);
    f.link_peer();
    f.send(ask_of({21}));
    REQUIRE(f.all<give_grant>().size() == 1);
    const give_grant given = f.all<give_grant>()[0];
    f.now += given.lease;
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
    f.finish(1);
    f.send(grant_returned{"entry-1", given.grant, grant_use()});
    CHECK(f.scheduler().slots()[0].in_flight == 0);
}

TEST_CASE("a pending ask gets the next slot if no own request waits") {
    scheduler_fixture f(1, 1, 1);
    f.link_peer();
    f.arrive(1);
    f.send(ask_of({21}, 200ms));
    CHECK(f.all<give_grant>().empty());
    REQUIRE(f.all<answer_ask>().size() == 1);
    CHECK(f.all<answer_ask>()[0].idle == 0);
    f.now += 20ms;
    f.finish(1);
    CHECK(f.all<give_grant>().size() == 1);
}

TEST_CASE("a slot that no waiting own request may use is granted") {
    // The waiting request has just failed on this server and must not use it
    // again. If the slot were reserved for it, the slot would stay idle.
    scheduler_fixture f(2, 1, 1);
    f.link_peer();
    request_arrived again = f.request(1, 100ms);
    again.excluded = {"a"};
    f.send(again);
    CHECK(f.scheduler().queued() == 1);
    f.send(ask_of({21}, 900ms));
    CHECK(f.all<give_grant>().size() == 1);
}

TEST_CASE("a withdrawn or expired ask gets no grant") {
    scheduler_fixture f(1, 1, 1);
    f.link_peer();
    f.arrive(1);
    f.send(ask_of({21}, 10s));
    f.now += 200ms;
    f.finish(1);
    CHECK(f.all<give_grant>().empty());
    f.arrive(2);
    f.send(ask_of({22}, 10s));
    slots_asked withdrawal;
    withdrawal.peer = "entry-1";
    withdrawal.withdrawn = {22};
    f.send(withdrawal);
    f.now += 20ms;
    f.finish(2);
    CHECK(f.all<give_grant>().empty());
}

TEST_CASE("a repeated ask for a granted request gets no second grant") {
    // The peer repeats its full ask every few milliseconds, and the ask crosses
    // the grant. A second slot would stay idle for a round trip.
    scheduler_fixture f(1, 2, 1);
    f.link_peer();
    f.send(ask_of({21}));
    REQUIRE(f.all<give_grant>().size() == 1);
    slots_asked again = ask_of({21});
    again.complete = true;
    f.send(again);
    CHECK(f.all<give_grant>().empty());
}

TEST_CASE("a full ask replaces the previous requests of the peer") {
    // A withdrawal is lost when a connection breaks. The slot would be granted
    // for a request that has long been answered.
    scheduler_fixture f(1, 1, 1);
    f.link_peer();
    f.arrive(1);
    f.send(ask_of({21, 22}, 10s));
    slots_asked whole = ask_of({22}, 10s);
    whole.complete = true;
    f.send(whole);
    f.finish(1);
    REQUIRE(f.all<give_grant>().size() == 1);
    CHECK(f.all<give_grant>()[0].request == 22);
}

TEST_CASE("the most urgent request goes first, own or of a peer") {
    scheduler_fixture f(1, 1, 1);
    f.link_peer();
    f.arrive(1);
    f.arrive(2, 900ms);
    // The peer asks as an instance that owns no slots.
    f.view.owners.owners.pop_back();
    f.apply_view();
    f.send(ask_of({21}, 300ms));
    f.finish(1);
    REQUIRE(f.all<give_grant>().size() == 1);
    CHECK(f.all<give_grant>()[0].request == 21);
}

TEST_CASE("a grant for a cancelled request is returned at once") {
    // The caller disconnects before the grant arrives. If the grant were kept,
    // the slot would be lost until the lease ends.
    scheduler_fixture f = busy_owner();
    f.send(request_cancelled{2});
    f.send(grant_of("b", 2));
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<return_grant>().size() == 1);
    CHECK(!f.all<return_grant>()[0].use);
}

TEST_CASE("a standby replaces an unreachable owner") {
    // The instance that owns a service's slots is killed. Without a standby,
    // other instances would refuse callers or use slots without coordination
    // until the owner is detected as gone.
    scheduler_fixture f(2, 4, 0);
    f.view.owners.owners.erase(f.view.owners.owners.begin());
    f.view.owners.standbys = {{{"entry-0", 1}, "sea", {}, 0}};
    f.apply_view();
    CHECK(f.scheduler().slots()[0].usable == 4);
    CHECK(f.scheduler().slots()[0].owned);
    f.send(peer_reachability{"entry-2", true});
    slots_asked ask = ask_of({21});
    ask.peer = "entry-2";
    f.send(ask);
    CHECK(f.all<give_grant>().size() == 1);
    f.link_peer();
    CHECK(f.scheduler().slots()[0].usable == 0);
    ask.waiting[0].request = 22;
    f.send(ask);
    REQUIRE(f.all<answer_ask>().size() == 1);
    CHECK(!f.all<answer_ask>()[0].is_owner);
}

TEST_CASE("a peer that answers that it is no owner is not asked again") {
    // This instance has lost its connection to the owner, the standby has not.
    // If the instance kept asking the standby, requests would wait until their
    // deadlines.
    scheduler_fixture f(2, 4, 0);
    f.view.owners.owners.erase(f.view.owners.owners.begin());
    f.view.owners.standbys = {{{"entry-2", 1}, "sea", {}, 0}};
    f.apply_view();
    f.send(peer_reachability{"entry-2", true});
    f.arrive(1);
    REQUIRE(f.all<ask_slots>().size() == 1);
    CHECK(f.all<ask_slots>()[0].peer == "entry-2");
    ask_answered answer;
    answer.peer = "entry-2";
    answer.is_owner = false;
    f.send(answer);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a peer that becomes an owner later is asked then") {
    // Instances learn of newly started ones at different times. An owner that
    // is asked too early answers that it is none, and sends no message when it
    // becomes one. Without further checks this instance would keep using a
    // share of slots that the owner grants to others, and requests would queue
    // in the servers.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1);
    f.send(ask_answered{"entry-1", 0, false, {}});
    REQUIRE(f.all<start_request>().size() == 1);
    for (int checks = 0; checks < 3; ++checks) {
        f.pass(50ms);
        REQUIRE(f.all<ask_slots>().size() == 1);
        CHECK(f.all<ask_slots>()[0].peer == "entry-1");
        CHECK(f.all<ask_slots>()[0].answer_required);
        f.send(ask_answered{"entry-1", 0, false, {}});
        CHECK(f.scheduler().slots()[0].usable == 2);
    }
    f.send(ask_answered{"entry-1", 3, true, {}});
    CHECK(f.scheduler().slots()[0].usable == 0);
    f.arrive(2);
    CHECK(f.all<start_request>().empty());
    REQUIRE(f.all<ask_slots>().size() == 1);
    CHECK(f.all<ask_slots>()[0].waiting.size() == 1);
}

TEST_CASE("an unresponsive owner is checked while no request waits") {
    // An ask arrives before the owner has read its configuration, and is lost.
    // The owner never answers it, so only another ask shows that it responds.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1);
    pass_until_started(f);
    f.finish(1);
    unsigned asked = 0;
    for (int i = 0; i < 20; ++i) {
        f.now += 15ms;
        f.send(time_passed{});
        for (const ask_slots& ask : f.all<ask_slots>()) {
            asked += ask.answer_required ? 1 : 0;
        }
    }
    CHECK(asked >= 3);
    CHECK(asked <= 8);
    f.link_peer(false);
    f.now += 200ms;
    f.send(time_passed{});
    CHECK(f.all<ask_slots>().empty());
}

TEST_CASE("an unresponsive owner is not checked with every view") {
    // Hundreds of instances start and announce themselves, so that the view
    // changes hundreds of times a second. A check with each view would send the
    // peer, which is busiest then, a message from every other instance.
    scheduler_fixture f(2, 4, 0);
    f.link_peer();
    f.arrive(1);
    pass_until_started(f);
    f.finish(1);
    unsigned asked = 0;
    for (int i = 0; i < 200; ++i) {
        f.now += 5ms;
        f.apply_view();
        asked += f.all<ask_slots>().size();
    }
    CHECK(asked >= 20);
    CHECK(asked <= 41);
}

TEST_CASE("an unresponsive owner is checked ever more rarely") {
    // Guards against an owner that runs late and has to read a check of every
    // instance for each 50 ms that it stood still.
    scheduler_fixture f(2, 4, 0);
    f.link_peer();
    f.arrive(1);
    pass_until_started(f);
    f.finish(1);
    unsigned asked = 0;
    for (int i = 0; i < 200; ++i) {
        f.pass(10ms);
        asked += f.all<ask_slots>().size();
    }
    CHECK(asked >= 5);
    CHECK(asked <= 9);
}

TEST_CASE("an instance that runs in slices notices that an owner is silent") {
    // Guards against a verdict that begins anew with each late wake-up: the
    // instance would ask a silent owner for ever.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1, 10s);
    unsigned slices = 0;
    while (f.all<start_request>().empty() && slices < 10) {
        for (int i = 0; i < 7 && f.all<start_request>().empty(); ++i) {
            f.pass(10ms);
        }
        ++slices;
        f.now += f.all<start_request>().empty() ? 1s : 0s;
    }
    CHECK(slices <= 3);
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a request that waited while the process did not run is served") {
    // Guards against 503 on waking, with time left and slots to be had.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1, 2s);
    f.pass(1100ms);
    CHECK(f.all<refuse_request>().empty());
    REQUIRE(f.all<ask_slots>().size() == 1);
    f.now += 2ms;
    f.send(grant_of("a", 1));
    CHECK(f.all<start_request>().size() == 1);
}

TEST_CASE("a busy process does not put off what it has to refuse") {
    // Guards against an overload in which nothing is refused any more, since
    // each late turn of the loop gives all that waits more time.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1, 400ms);
    f.pass(250ms);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::too_late);
}

TEST_CASE("a request that can't be answered any more is refused on waking") {
    // Guards against work for a caller that leaves before its answer.
    scheduler_fixture f(2, 4, 0);
    f.link_peer();
    f.arrive(1, 1s);
    f.pass(999ms);
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason == refusal_reason::too_late);
}

TEST_CASE("a status check is answered") {
    scheduler_fixture f(2, 4, 1);
    f.link_peer();
    slots_asked ask;
    ask.peer = "entry-1";
    ask.answer_required = true;
    f.send(ask);
    REQUIRE(f.all<answer_ask>().size() == 1);
    CHECK(f.all<answer_ask>()[0].is_owner);
    CHECK(f.all<answer_ask>()[0].idle == 4);
}

TEST_CASE("a share of the slots of an unresponsive owner is used") {
    // All owners are suspended or disconnected, and their connections still
    // appear open. Requests at an instance without slots would wait forever.
    scheduler_fixture f = borrower_of_one_owner();
    f.arrive(1);
    REQUIRE(f.all<ask_slots>().size() == 1);
    CHECK(f.all<start_request>().empty());
    pass_until_started(f);
    CHECK(f.all<start_request>().size() == 1);
    // Two members share the four slots of each server.
    CHECK(f.scheduler().slots()[0].usable == 2);
    f.send(ask_answered{"entry-1", 0, true, {}});
    CHECK(f.scheduler().slots()[0].usable == 0);
}

TEST_CASE("instances that share the slots of a silent owner use many servers") {
    // Guards against requests turned away by a few full servers beside idle
    // ones, when all instances lose the owner.
    constexpr unsigned servers = 24;
    constexpr unsigned fair_share = 10;
    std::map<std::string, unsigned> begun;
    for (unsigned each = 0; each < servers * fair_share; ++each) {
        scheduler_fixture f(servers, 2, 0, "sharer-" + std::to_string(each));
        f.arrive(1);
        REQUIRE(f.all<start_request>().size() == 1);
        ++begun[f.all<start_request>()[0].backend_server];
    }
    CHECK(begun.size() == servers);
    for (const auto& each : begun) {
        CHECK(each.second <= 2 * fair_share);
    }
}

TEST_CASE("without a connection to the owner its slots are shared at once") {
    scheduler_fixture f(1, 4, 0);
    f.arrive(1);
    CHECK(f.all<start_request>().size() == 1);
    f.arrive(2);
    f.arrive(3);
    CHECK(f.all<start_request>().empty());
}

TEST_CASE("the remaining owner uses all slots of the lost owner") {
    // One of two owners fails. If its slots were divided among all instances,
    // most would stay idle, since callers are now sent to the other owner.
    scheduler_fixture f(2, 4, 1);
    for (int i = 2; i < 18; ++i) {
        member other;
        other.id = {"entry-" + std::to_string(i), 1};
        f.view.members.push_back(other);
    }
    f.apply_view();
    CHECK(f.scheduler().slots()[1].usable == 4);
    f.link_peer();
    CHECK(f.scheduler().slots()[1].usable == 0);
}

TEST_CASE("a request that all owners decline is refused at once") {
    // A caller reaches an instance without slots while the service is
    // overloaded. If the request were held until its deadline, the caller would
    // be told far too late when to come back.
    scheduler_fixture f(1, 1, 0);
    f.link_peer();
    f.arrive(1);
    f.arrive(2);
    f.now += 2ms;
    f.send(ask_answered{"entry-1", 0, true, {{1, 700ms}, {2, 720ms}}});
    const auto refused = f.all<refuse_request>();
    REQUIRE(refused.size() == 2);
    CHECK(refused[0].retry_after == 700ms);
    CHECK(refused[1].retry_after == 720ms);
}

TEST_CASE("a grant outside of a request's data centres is returned") {
    // Guards against a request that is restricted to a region and runs outside
    // of it on a granted slot.
    scheduler_fixture f(2, 2, 0);
    f.link_peer();
    auto kept = f.request(1);
    kept.data_centres = {{"boi"}};
    f.send(kept);
    // There is no server in that data centre.
    REQUIRE(f.all<refuse_request>().size() == 1);
    CHECK(f.all<refuse_request>()[0].reason ==
          refusal_reason::no_backend_server);
    auto changed = *f.view.config;
    changed.services[0].backend_servers[1].data_centre = "boi";
    f.view.config = std::make_shared<const configuration>(changed);
    f.apply_view();
    f.send(kept);
    REQUIRE(f.all<ask_slots>().size() == 1);
    CHECK(f.all<ask_slots>()[0].waiting.at(0).data_centres ==
          kept.data_centres);
    grant_received abroad;
    abroad.peer = "entry-1";
    abroad.grant = 1;
    abroad.request = 1;
    abroad.backend_server = "a";
    abroad.lease = 1s;
    f.send(abroad);
    CHECK(f.all<start_request>().empty());
    CHECK(f.all<return_grant>().size() == 1);
    grant_received at_home = abroad;
    at_home.grant = 2;
    at_home.backend_server = "b";
    f.send(at_home);
    CHECK(f.all<start_request>().size() == 1);
}
