#include <catch2/catch.hpp>

#include <waxwingvale/decision/repeat_budget.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

constexpr duration window = 10s;
const time_point start(100s);

repeat_budget budget_of(double extra, double instances, time_point began) {
    repeat_budget made({window, 0.2, extra / instances});
    made.hold_since(began);
    return made;
}

unsigned spend_all(repeat_budget& from, time_point now) {
    unsigned spent = 0;
    while (from.try_spend(now)) {
        ++spent;
    }
    return spent;
}

void add_requests(repeat_budget& to, int count, time_point now) {
    for (int each = 0; each < count; ++each) {
        to.on_request(now);
    }
}

} // namespace

TEST_CASE("a new process uses only what its own requests allow") {
    // Guards against extra repeats that a former process of its name may have
    // used as well.
    repeat_budget budget = budget_of(16, 4, start);
    CHECK(spend_all(budget, start + 100ms) == 0);
    add_requests(budget, 15, start + 100ms);
    CHECK(spend_all(budget, start + 100ms) == 2);
}

TEST_CASE("a process that has spent nothing for a window has its whole part") {
    repeat_budget budget = budget_of(16, 4, start);
    CHECK(spend_all(budget, start + window) == 3);
    CHECK(spend_all(budget, start + window + 1s) == 0);
    CHECK(spend_all(budget, start + 2 * window) == 3);
}

TEST_CASE("what requests allow is not kept for later windows") {
    // Guards against a predecessor that spends what the last window allowed,
    // and a successor that spends what this one does.
    repeat_budget budget = budget_of(16, 4, start);
    add_requests(budget, 1000, start + 1s);
    // A fifth of 200, and the extra three.
    CHECK(spend_all(budget, start + 1s) <= 43);
    add_requests(budget, 1000, start + 2s);
    CHECK(spend_all(budget, start + 2s) <= 83);
    CHECK(spend_all(budget, start + 1s + window) == 0);
}

TEST_CASE("what is given to a peer is gone") {
    // Guards against repeats that two instances send, each as its own.
    repeat_budget giver = budget_of(16, 1, start - window);
    repeat_budget taker = budget_of(0, 1, start);
    const double given = giver.give(100, start);
    CHECK(given == Approx(6));
    taker.receive(given, start + repeat_budget::credit_lifetime);
    CHECK(spend_all(giver, start) == 6);
    CHECK(spend_all(taker, start + 100ms) == 6);
}

TEST_CASE("what peers give is lost when its time is up") {
    repeat_budget taker = budget_of(0, 1, start);
    taker.receive(3, start + 200ms);
    CHECK(taker.try_spend(start + 100ms));
    CHECK(!taker.try_spend(start + 200ms));
}

TEST_CASE("parts of what two peers give make one repeat") {
    repeat_budget taker = budget_of(0, 1, start);
    taker.receive(0.5, start + 200ms);
    CHECK(!taker.try_spend(start + 100ms));
    taker.receive(0.5, start + 200ms);
    CHECK(taker.try_spend(start + 100ms));
    CHECK(!taker.try_spend(start + 100ms));
}

TEST_CASE("the parts of all instances are no more than the extra repeats") {
    // Guards against a fleet each of whose many instances holds a whole repeat.
    constexpr double extra = 60;
    for (const std::size_t instances : {1U, 18U, 46U, 300U, 700U}) {
        double sum = 0;
        for (std::size_t each = 0; each < instances; ++each) {
            sum += part_of_extra(extra, instances,
                                 "instance-" + std::to_string(each), "view");
        }
        INFO(instances << " instances");
        CHECK(sum <= extra * 4 / 3);
        CHECK(sum >= extra / 2);
    }
}

TEST_CASE("an instance that holds a single extra repeat can send it") {
    double part = 0;
    for (int each = 0; part == 0; ++each) {
        part = part_of_extra(60, 700, "instance-" + std::to_string(each), "v");
    }
    repeat_budget budget = budget_of(part, 1, start - window);
    CHECK(spend_all(budget, start) == 1);
}
