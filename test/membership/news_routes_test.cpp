#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

#include <waxwingvale/membership/news_routes.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

member_record record_of(const std::string& name, const std::string& centre,
                        unsigned cpu_permille) {
    member_record record;
    record.id = {name, 7};
    record.data_centre = centre;
    record.capacity.cpu_permille = cpu_permille;
    return record;
}

using names = std::set<std::string>;

// An ordinary instance of one of two data centres.
struct listening_instance {
    member_table members{record_of("sea-5", "sea", 100), {}, start};
    news_routes routes{"sea-5", 2, {}, start};

    listening_instance() {
        for (const auto* each : {"sea-1", "sea-4"}) {
            members.merge(record_of(each, "sea", 500), start);
        }
        for (const auto* each : {"pdx-1", "pdx-4"}) {
            members.merge(record_of(each, "pdx", 500), start);
        }
        routes.set_central({"sea-1", "pdx-1"});
    }
    void link(const names& peers) {
        for (const auto& each : peers) {
            routes.link_up(each);
        }
    }
    std::vector<feed_change> choose(time_point now) {
        return routes.choose_feed(members, now);
    }
};

} // namespace

TEST_CASE("an ordinary instance listens to a central one near it") {
    listening_instance one;
    one.link({"pdx-4", "sea-4", "pdx-1", "sea-1"});
    CHECK(one.choose(start) == std::vector<feed_change>{{"sea-1", true}});
    CHECK(one.routes.audience("") == names{"sea-1"});
    // Its feed knows what its feed said.
    CHECK(one.routes.audience("sea-1").empty());
    REQUIRE(one.routes.add_listener("pdx-4"));
    CHECK(one.routes.audience("sea-1") == names{"pdx-4"});
    CHECK(one.routes.audience("pdx-4") == names{"sea-1"});
}

TEST_CASE("central instances tell each other only what others do not") {
    // Were each to pass on what another has told all of them, every word would
    // cross the links between them once for each of them.
    listening_instance one;
    one.routes.set_central({"sea-5", "sea-1", "pdx-1"});
    one.link({"sea-1", "pdx-1", "sea-4"});
    one.routes.hear_newer("sea-1", start);
    CHECK(one.choose(start).empty());
    CHECK(one.routes.audience("") == names{"sea-1", "pdx-1"});
    REQUIRE(one.routes.add_listener("sea-4"));
    CHECK(one.routes.audience("sea-4") == names{"sea-1", "pdx-1"});
    CHECK(one.routes.audience("sea-1") == names{"sea-4"});
}

TEST_CASE("a feed without newer word is left for another") {
    // The feed is cut off from the others, or its link has gone silent without
    // a reset. An instance that stays with it goes on sending work to servers
    // that have left.
    listening_instance one;
    one.link({"sea-1", "pdx-1"});
    REQUIRE(one.choose(start).size() == 1);
    one.routes.hear_newer("sea-1", start + 100ms);
    CHECK(one.choose(start + 600ms).empty());
    CHECK(one.choose(start + 900ms) ==
          std::vector<feed_change>{{"sea-1", false}, {"pdx-1", true}});
    // The platform may be away: nobody has newer word, and the pace slows down.
    one.choose(start + 1800ms);
    CHECK(one.routes.feed() == "pdx-1");
    one.choose(start + 2500ms);
    CHECK(one.routes.feed() == "sea-1");
}

TEST_CASE("the only feed there is stays although it has no newer word") {
    listening_instance one;
    one.link({"pdx-4"});
    REQUIRE(one.choose(start).size() == 1);
    for (auto now = start; now < start + 20s; now += 100ms) {
        CHECK(one.choose(now).empty());
    }
    CHECK(one.routes.feed() == "pdx-4");
}

TEST_CASE("a lost feed is replaced at once, and by a better one later") {
    listening_instance one;
    one.link({"sea-1", "pdx-4"});
    REQUIRE(one.choose(start).size() == 1);
    one.routes.hear_newer("sea-1", start);
    one.routes.link_down("sea-1");
    CHECK(one.choose(start + 1ms) == std::vector<feed_change>{{"pdx-4", true}});
    one.routes.link_up("sea-1");
    CHECK(one.choose(start + 100ms).empty());
    CHECK(one.choose(start + 600ms) ==
          std::vector<feed_change>{{"pdx-4", false}, {"sea-1", true}});
}

TEST_CASE("a machine declines more listeners than it can serve") {
    // All instances start at once and know only three seeds. Were those to tell
    // hundreds of listeners all that they learn, the fleet would wait for three
    // machines.
    listening_instance one;
    CHECK(one.routes.add_listener("a"));
    CHECK(one.routes.add_listener("b"));
    CHECK(one.routes.add_listener("b"));
    CHECK_FALSE(one.routes.add_listener("c"));
    one.routes.remove_listener("a");
    CHECK(one.routes.add_listener("c"));
    // Who was declined tries another, and the first again later.
    one.link({"sea-1", "pdx-1"});
    REQUIRE(one.choose(start).size() == 1);
    one.routes.declined("sea-1", start);
    CHECK(one.choose(start) == std::vector<feed_change>{{"pdx-1", true}});
    one.routes.hear_newer("pdx-1", start + 100ms);
    CHECK(one.choose(start + 400ms).empty());
    CHECK(one.choose(start + 600ms) ==
          std::vector<feed_change>{{"pdx-1", false}, {"sea-1", true}});
}

TEST_CASE("a central instance that hears no other listens until it does") {
    // The links between it and the reader are broken, those to others work.
    listening_instance one;
    one.routes.set_central({"sea-5", "sea-1", "pdx-1"});
    one.link({"sea-1", "pdx-1"});
    one.routes.hear_newer("pdx-1", start);
    CHECK(one.choose(start + 500ms).empty());
    REQUIRE(one.choose(start + 800ms).size() == 1);
    const auto feed = one.routes.feed();
    one.routes.hear_newer(feed, start + 900ms);
    CHECK(one.choose(start + 1000ms).empty());
    one.routes.hear_newer(feed == "sea-1" ? "pdx-1" : "sea-1", start + 1100ms);
    CHECK(one.choose(start + 1200ms) ==
          std::vector<feed_change>{{feed, false}});
}

TEST_CASE("a peer without room is asked ever more rarely") {
    // It may be full for good. Each time that it is asked the feed that serves
    // meanwhile is left.
    listening_instance one;
    one.link({"sea-1", "pdx-4"});
    unsigned asked = 0;
    for (auto now = start; now < start + 60s; now += 100ms) {
        for (const auto& change : one.choose(now)) {
            if (change.peer == "sea-1" && change.start) {
                ++asked;
                one.routes.declined("sea-1", now);
            }
        }
        one.routes.hear_newer("pdx-4", now);
    }
    CHECK(asked >= 3);
    CHECK(asked <= 8);
    CHECK(one.routes.feed() == "pdx-4");
}
