#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <waxwingvale/membership/reader_duty.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::membership;

namespace {

const time_point start{1h};

std::vector<member> members(unsigned count) {
    std::vector<member> all(count);
    for (unsigned each = 0; each < count; ++each) {
        all[each].id = {"sea-" + std::to_string(each), 1};
        all[each].data_centre = "sea";
    }
    return all;
}

// The duty of the instance with this rank in the order of readers.
reader_duty duty_of_rank(std::size_t rank, const std::vector<member>& all) {
    reader_duty duty(reader_order(all).at(rank), 1, true, {}, start);
    duty.take_members(all);
    return duty;
}

} // namespace

TEST_CASE("an instance takes over from a silent reader and later stops") {
    const auto all = members(3);
    const auto order = reader_order(all);
    auto second = duty_of_rank(1, all);
    second.hear(order[0], 0s, start + 1s);
    CHECK_FALSE(second.should_read(start + 1500ms));
    CHECK(second.should_read(start + 2s));
    second.hear(order[1], 0s, start + 2100ms);
    second.hear(order[0], 0s, start + 2200ms);
    // The first reader may fail again, so the instance continues for a while.
    CHECK(second.should_read(start + 2200ms));
    second.hear(order[0], 0s, start + 6s);
    CHECK_FALSE(second.should_read(start + 6s));
}

TEST_CASE("an instance that has read nothing stops once another has read") {
    // Guards against needless reads, each of which is paid for, after an outage
    // of the platform. All 128 instances have started to read, one is answered
    // first, and each of the others would also read everything and watch it for
    // seconds.
    const auto all = members(128);
    const auto order = reader_order(all);
    auto last = duty_of_rank(100, all);
    last.hear(order[0], 0s, start + 1s);
    REQUIRE(last.should_read(start + 4s));
    last.hear(order[3], 0s, start + 5s);
    CHECK_FALSE(last.should_read(start + 5s));
    // An update that is already stale means that its reader has failed too.
    auto other = duty_of_rank(100, all);
    REQUIRE(other.should_read(start + 4s));
    other.hear(order[3], 2s, start + 5s);
    CHECK(other.should_read(start + 5s));
}

TEST_CASE(
    "any reader of lower rank lets an instance stop, not only the first") {
    // Guards against instances that read for as long as the first reader
    // cannot. The platform refuses a third of the machines for nine seconds,
    // the first reader among them. The next one in the order reads for all, so
    // the others that had started must stop.
    const auto all = members(20);
    const auto order = reader_order(all);
    auto later = duty_of_rank(10, all);
    REQUIRE(later.should_read(start + 3s));
    later.hear(order[10], 0s, start + 3100ms);
    for (auto now = start + 3200ms; now <= start + 7s; now += 300ms) {
        later.hear(order[1], 0s, now);
    }
    CHECK_FALSE(later.should_read(start + 7s));
    // An update from an instance of higher rank does not let an instance stop.
    auto earlier = duty_of_rank(2, all);
    REQUIRE(earlier.should_read(start + 3s));
    for (auto now = start + 3200ms; now <= start + 7s; now += 300ms) {
        earlier.hear(order[15], 0s, now);
    }
    CHECK(earlier.should_read(start + 7s));
}

TEST_CASE("an instance that runs late reads only if all others do too") {
    // Guards against a reader that stands still while all hear of the platform
    // by way of it.
    auto all = members(3);
    const auto before = reader_order(all);
    for (auto& each : all) {
        each.runs_late = each.id.name == before.front();
    }
    CHECK(reader_order(all).back() == before.front());
    for (auto& each : all) {
        each.runs_late = true;
    }
    CHECK(reader_order(all) == before);
}

TEST_CASE("an instance that is stopped again and again reads the platform") {
    // Guards against configurations that come as late as everybody who passes
    // them on, where all instances run late.
    const auto all = members(3);
    auto second = duty_of_rank(1, all);
    second.hear(reader_order(all)[0], 0s, start + 1s);
    second.forgive_silence(1s, start + 2s);
    CHECK_FALSE(second.should_read(start + 2s));
    second.set_runs_late(true);
    CHECK(second.should_read(start + 2s));
}

TEST_CASE("an instance that was stopped hears of the reader before it reads") {
    // Guards against a store that is read by all that run in slices, each time
    // that they wake. Where nothing is heard, they read all the same.
    const auto all = members(3);
    const auto reader = reader_order(all).front();
    auto second = duty_of_rank(1, all);
    auto now = start + 1s;
    second.hear(reader, 0s, now);
    for (int slice = 0; slice < 5; ++slice) {
        now += 1100ms;
        second.forgive_silence(1050ms, now);
        CHECK_FALSE(second.should_read(now));
        second.hear(reader, 100ms, now + 5ms);
    }
    now += 1100ms;
    second.forgive_silence(1050ms, now);
    CHECK_FALSE(second.should_read(now));
    now += 1100ms;
    second.forgive_silence(1050ms, now);
    CHECK(second.should_read(now));
}
