#include <catch2/catch.hpp>

#include "decision/repeat_lenders.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start(100s);
const std::set<std::string> peers = {"a", "b", "c"};

} // namespace

TEST_CASE("peers are asked in rounds that do not follow each other at once") {
    // Guards against instances that ask each other all the time for what none
    // of them has.
    repeat_lenders lenders;
    CHECK(lenders.begin_round(peers, start).size() == 3);
    for (const std::string& peer : peers) {
        CHECK(lenders.answered(peer, lenders.round(), 1) == start);
    }
    CHECK(lenders.begin_round(peers, start + 10ms).empty());
    CHECK(lenders.is_hopeful(start + 10ms));
    CHECK(lenders.begin_round(peers, start + 25ms).size() == 3);
}

TEST_CASE("peers that gave nothing are not asked again for a second") {
    repeat_lenders lenders;
    lenders.begin_round(peers, start);
    CHECK(lenders.answered("a", lenders.round(), 0.1) == start);
    CHECK_FALSE(lenders.is_hopeful(start + 25ms));
    CHECK(lenders.begin_round(peers, start + 500ms).empty());
    CHECK(lenders.begin_round(peers, start + 1s).size() == 3);
}

TEST_CASE("an answer counts once, and for the current round only") {
    // Guards against what a peer gave long ago being used as if it were new.
    repeat_lenders lenders;
    lenders.begin_round(peers, start);
    const auto former = lenders.round();
    CHECK(lenders.answered("a", former, 1));
    CHECK_FALSE(lenders.answered("a", former, 1));
    CHECK(lenders.begin_round(peers, start + 25ms).size() == 3);
    CHECK_FALSE(lenders.answered("b", former, 1));
}

TEST_CASE("many peers are asked a few at a time, all in turn") {
    std::set<std::string> many;
    for (int each = 0; each < 40; ++each) {
        many.insert("peer-" + std::to_string(each));
    }
    repeat_lenders lenders;
    std::set<std::string> asked;
    time_point now = start;
    for (int round = 0; round < 3; ++round) {
        for (const std::string& peer : lenders.begin_round(many, now)) {
            asked.insert(peer);
            lenders.answered(peer, lenders.round(), 1);
        }
        now += 25ms;
    }
    CHECK(asked.size() == 40);
}
