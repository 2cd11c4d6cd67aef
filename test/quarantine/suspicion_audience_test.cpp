#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/decision/suspicion_audience.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};
const request_fingerprint ending{7};
constexpr std::size_t ends_allowed = 2;

std::string name_of(std::size_t number) {
    return "e" + std::to_string(number);
}

// Entry instances whose messages arrive at once, over links that a test cuts.
// The first ones are the registrars. Each has links with the registrars and
// with its neighbours by number.
class fleet {
public:
    fleet(std::size_t size, std::size_t registrars)
        : size_(size), registrars_(registrars) {
        for (std::size_t at = 0; at < size; ++at) {
            members_.insert(name_of(at));
        }
        for (std::size_t at = 0; at < size; ++at) {
            begin(at);
        }
    }

    // A process of that number that knows nothing yet.
    void begin(std::size_t number) {
        const auto name = name_of(number);
        guards_.erase(number);
        guards_.emplace(number, guard{quarantine(name, {}),
                                      suspicion_audience(name, 10min)});
        see(number, registrars_);
        for (const auto& peer : guards_) {
            if (is_link(number, peer.first)) {
                guards_.at(peer.first).audience.link_down(name);
                open(number, peer.first);
            }
        }
    }

    // That instance sees so many registrars from now on.
    void see(std::size_t number, std::size_t registrars) {
        std::set<std::string> seen;
        for (std::size_t at = 0; at < registrars; ++at) {
            seen.insert(name_of(at));
        }
        auto& audience = guards_.at(number).audience;
        for (const auto& peer : audience.follow(members_, seen, false, now)) {
            tell_all_known(number, number_of(peer));
        }
    }

    // Both ends notice at once.
    void cut(std::size_t a, std::size_t b) {
        lose(a, b);
        guards_.at(a).audience.link_down(name_of(b));
        guards_.at(b).audience.link_down(name_of(a));
    }
    // Nobody notices: what is sent is lost.
    void lose(std::size_t a, std::size_t b) { cut_.insert(std::minmax(a, b)); }
    void heal(std::size_t a, std::size_t b) {
        cut_.erase(std::minmax(a, b));
        if (is_link(a, b)) {
            open(a, b);
        }
    }

    // A copy of the request comes to that instance, which asks the owner for a
    // slot first. It ends its server if it is sent.
    void send_copy(std::size_t number, std::size_t owner) {
        if (number != owner &&
            guards_.at(owner).audience.asked_for_slots(name_of(number), now)) {
            tell_all_known(owner, number);
        }
        send_unasked(number, false);
    }
    void send_unasked(std::size_t number, bool is_share = true) {
        auto& sender = guards_.at(number);
        const auto decided = sender.known.admit(ending, now);
        const bool alone = std::holds_alternative<run_alone>(decided);
        if (!alone && !std::holds_alternative<run_normally>(decided)) {
            return;
        }
        if (is_share) {
            sender.audience.tell_everybody_until(now + 10s);
        }
        if (alone) {
            tell(number, {*sender.known.update_on(ending, now)});
        }
        const backend_process server{"b" + std::to_string(++ended), 1};
        const auto lost =
            sender.known.on_connection_lost(ending, server, alone, now, now);
        tell(number, {*lost});
        tell(number, sender.known.on_process_ended(server, now));
    }

    bool knows(std::size_t number) const {
        return guards_.at(number).known.size() != 0;
    }
    bool refuses(std::size_t number) const {
        return !guards_.at(number).known.quarantined(now).empty();
    }

    time_point now = start;
    std::size_t ended = 0;
    std::size_t messages = 0;

private:
    using words = std::vector<suspicion_update>;
    struct guard {
        quarantine known;
        suspicion_audience audience;
    };

    static std::size_t number_of(const std::string& name) {
        return std::stoul(name.substr(1));
    }

    bool is_link(std::size_t a, std::size_t b) const {
        const auto apart = std::minmax(a, b);
        const bool near = apart.second - apart.first <= 2 ||
                          apart.second - apart.first >= size_ - 2;
        const bool planned = apart.first < registrars_ || near;
        return a != b && planned && cut_.count(apart) == 0;
    }

    void open(std::size_t a, std::size_t b) {
        guards_.at(a).audience.link_up(name_of(b));
        guards_.at(b).audience.link_up(name_of(a));
        tell_all_known(a, b);
        tell_all_known(b, a);
    }

    void tell_all_known(std::size_t from, std::size_t to) {
        const auto& sender = guards_.at(from);
        const auto all = sender.known.snapshot(now);
        if (!all.empty()) {
            deliver(from, to, all, sender.audience.reach(now));
        }
    }

    void tell(std::size_t from, const words& told) {
        if (!told.empty()) {
            send(from, told, guards_.at(from).audience.of_own(now));
        }
    }

    void send(std::size_t from, const words& told,
              const suspicion_recipients& to) {
        for (const auto& peer : to.peers) {
            deliver(from, number_of(peer), told, to.reach);
        }
    }

    void deliver(std::size_t from, std::size_t to, const words& told,
                 const suspicion_reach& reach) {
        if (!is_link(from, to)) {
            return;
        }
        ++messages;
        words news;
        words missed;
        auto& receiver = guards_.at(to);
        for (const auto& word : told) {
            if (receiver.known.merge(word, now)) {
                news.push_back(word);
            }
            const auto known = receiver.known.update_on(ending, now);
            if (known->state == suspicion_state::quarantined &&
                word.state != suspicion_state::quarantined) {
                missed.push_back(*known);
            }
        }
        if (!news.empty()) {
            send(to, news,
                 receiver.audience.of_told(name_of(from), reach, now));
        }
        if (!missed.empty()) {
            deliver(to, from, missed, receiver.audience.reach(now));
        }
    }

    std::size_t size_;
    std::size_t registrars_;
    std::set<std::string> members_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::map<std::size_t, guard> guards_;
};

} // namespace

TEST_CASE("a lost connection costs messages by who serves, not by the fleet") {
    // Guards against links full of word of suspects: each answer that is lost
    // would be told to every instance of a large fleet.
    const std::size_t size = GENERATE(30, 146, 313);
    fleet played(size, 4);
    // Two besides the registrars serve callers.
    played.send_copy(10, 0);
    played.messages = 0;
    played.send_copy(15, 0);
    CHECK(played.messages <= 12);
    CHECK_FALSE(played.knows(20));
}

TEST_CASE("a request that ends servers ends two through a large fleet") {
    // Guards against one more end for each instance that has heard nothing,
    // since it had served nobody before.
    fleet played(146, 4);
    for (std::size_t copy = 0; copy < 140; ++copy) {
        played.send_copy(copy, copy % 4);
        played.now += 1s;
    }
    CHECK(played.ended <= ends_allowed);
    CHECK(played.refuses(100));
}

TEST_CASE("owners pass word on to those that ask them for slots") {
    // Guards against copies sent by an instance that asked its owner before the
    // request was known, and is not told since.
    fleet played(60, 3);
    played.send_copy(30, 0);
    REQUIRE(played.ended == 1);
    fleet asked(60, 3);
    asked.send_copy(40, 1); // asks, and sends
    asked.send_copy(30, 0);
    asked.now += 11s;
    asked.send_copy(30, 0);
    CHECK(asked.ended == 2);
    CHECK(asked.refuses(40));
}

TEST_CASE("an instance whose link to an owner is cut is heard all the same") {
    // Guards against ends through an owner that the one that saw the first end
    // could not tell.
    fleet played(60, 3);
    played.cut(7, 0);
    played.send_copy(7, 1);
    CHECK(played.knows(0));
    for (std::size_t copy = 0; copy < 50; ++copy) {
        played.send_copy(30 + copy % 4, 0);
        played.now += 1s;
    }
    CHECK(played.ended <= ends_allowed);
}

TEST_CASE("an owner that misses word by a dead link is told what is refused") {
    // Guards against further ends by an owner whose link to the one that knows
    // has gone silent, and stays so.
    fleet played(60, 3);
    played.lose(7, 0);
    played.send_copy(7, 1);
    played.now += 11s;
    played.send_copy(7, 1);
    REQUIRE(played.ended == 2);
    for (std::size_t copy = 0; copy < 20; ++copy) {
        played.send_copy(0, 0);
        played.now += 1s;
    }
    CHECK(played.ended <= 3);
    CHECK(played.refuses(0));
}

TEST_CASE("word of an instance that was cut off reaches all owners") {
    // Guards against owners that know nothing, since the one that knows has a
    // link to only one of them again.
    fleet played(60, 3);
    for (std::size_t each = 0; each < 3; ++each) {
        played.cut(7, each);
    }
    played.send_unasked(7, false);
    played.heal(7, 0);
    CHECK(played.knows(1));
    CHECK(played.knows(2));
}

TEST_CASE("instances that send on shares of their own hear of each other") {
    // Guards against an end for each instance of a data centre that has lost
    // its way to all owners.
    fleet played(60, 3);
    for (std::size_t each = 3; each < 60; ++each) {
        for (std::size_t owner = 0; owner < 3; ++owner) {
            played.cut(each, owner);
        }
    }
    for (std::size_t copy = 0; copy < 60; ++copy) {
        played.send_unasked(10 + copy % 6);
        played.now += 1s;
    }
    CHECK(played.ended <= 3);
}

TEST_CASE("word for everybody reaches all and is passed on by owners only") {
    // Guards against a fleet that does nothing but pass word on, once owners
    // that are short of time are taken for gone: each instance would tell all
    // that was lost anywhere over all of its links.
    constexpr std::size_t size = 146;
    constexpr unsigned told_at_once = 2; // the loss, and the server's end
    fleet played(size, 4);
    played.send_unasked(50);
    for (std::size_t each = 0; each < size; ++each) {
        CHECK(played.knows(each));
    }
    CHECK(played.messages <= told_at_once * (2 * size + 4 * 4 + 10));
}

TEST_CASE("owners that start again learn of suspects from those who know") {
    // Guards against a request that ends servers anew after each restart of
    // the instances that keep word of it.
    fleet played(60, 3);
    played.send_copy(10, 0);
    for (std::size_t each = 0; each < 3; ++each) {
        played.begin(each);
        CHECK(played.knows(each));
    }
    for (std::size_t copy = 0; copy < 30; ++copy) {
        played.send_copy(20 + copy, copy % 3);
        played.now += 1s;
    }
    CHECK(played.ended <= ends_allowed);
}

TEST_CASE("both sides of a cut know of suspects when it ends") {
    // Guards against ends by owners that were cut off while others learned of
    // the request.
    fleet played(60, 3);
    for (std::size_t each = 0; each < 60; ++each) {
        if (each != 2) {
            played.cut(each, 2);
        }
    }
    played.send_copy(10, 0);
    CHECK_FALSE(played.knows(2));
    for (std::size_t each = 0; each < 60; ++each) {
        if (each != 2) {
            played.heal(each, 2);
        }
    }
    CHECK(played.knows(2));
}

TEST_CASE("owners that only some know of yet hear of suspects") {
    // Guards against ends by a new owner, since the one that saw the first end
    // has an older view and tells the former owners only.
    fleet played(60, 3);
    played.see(30, 2);
    played.now += 11min; // a former owner is none of its askers any more
    played.send_copy(30, 0);
    CHECK(played.knows(2));
}

TEST_CASE("an instance that becomes an owner is told by those who know") {
    // Guards against ends by a new owner that uses its slots at once.
    fleet played(60, 3);
    for (std::size_t each = 0; each < 60; ++each) {
        played.see(each, 2);
    }
    played.now += 11min; // it is no former owner any more
    played.send_copy(30, 0);
    CHECK_FALSE(played.knows(2));
    played.see(0, 3);
    CHECK(played.knows(2));
}

TEST_CASE("who asks for slots is told once, and again after its link broke") {
    // Guards against a request sent on what was known before a link broke.
    suspicion_audience owner("e0", 10min);
    owner.follow({"e0", "e1"}, {"e0"}, false, start);
    owner.link_up("e1");
    CHECK_FALSE(owner.hears("e1"));
    CHECK(owner.asked_for_slots("e1", start));
    CHECK(owner.hears("e1"));
    CHECK_FALSE(owner.asked_for_slots("e1", start + 599s));
    CHECK(owner.of_own(start + 600s).peers == std::set<std::string>{"e1"});
    CHECK(owner.of_own(start + 1199s).peers.empty());
    CHECK(owner.asked_for_slots("e1", start + 1200s));
    owner.link_down("e1");
    CHECK_FALSE(owner.hears("e1"));
    owner.link_up("e1");
    CHECK(owner.asked_for_slots("e1", start + 1201s));
}

TEST_CASE("a former owner goes on hearing what becomes of suspects") {
    // Guards against harmless requests that an instance refuses for minutes,
    // since it is told no more that they were cleared.
    suspicion_audience owner("e0", 10min);
    owner.follow({"e0", "e1"}, {"e0", "e1"}, false, start);
    owner.link_up("e1");
    owner.follow({"e0", "e1"}, {"e0"}, false, start + 1s);
    CHECK(owner.of_own(start + 2s).peers == std::set<std::string>{"e1"});
}

TEST_CASE("a linked instance that is no member yet hears of suspects") {
    // Guards against requests sent by an instance that has just started, and
    // refused by it when they are suspects no more.
    suspicion_audience owner("e0", 10min);
    owner.follow({"e0"}, {"e0"}, false, start);
    owner.link_up("e9");
    CHECK(owner.of_own(start).peers == std::set<std::string>{"e9"});
}

TEST_CASE("in a full mesh each tells all, and nobody passes word on") {
    suspicion_audience of("e0", 10min);
    of.follow({"e0", "e1", "e2"}, {"e1"}, true, start);
    of.link_up("e1");
    // Guards against an instance that hears nothing while a link is missing.
    CHECK(of.of_told("e1", {}, start).peers.empty());
    of.follow({"e0", "e1", "e2", "e3"}, {"e1"}, true, start);
    of.link_up("e2");
    CHECK(of.of_told("e1", {}, start).peers == std::set<std::string>{"e2"});
    of.link_up("e3");
    CHECK(of.of_told("e1", {}, start).peers.empty());
    CHECK(of.of_own(start).peers == std::set<std::string>{"e1", "e2", "e3"});
    CHECK_FALSE(of.asked_for_slots("e3", start));
}
