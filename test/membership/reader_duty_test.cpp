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

// The instance at that place of the order, long after its start.
reader_duty duty_at(std::size_t place, const std::vector<member>& all) {
    reader_duty duty(reader_order(all).at(place), 1, true, {}, start);
    duty.take_members(all);
    return duty;
}

} // namespace

TEST_CASE("an instance reads when the reader falls silent, and stops after") {
    const auto all = members(3);
    const auto order = reader_order(all);
    auto second = duty_at(1, all);
    second.hear(order[0], 0s, start + 1s);
    CHECK_FALSE(second.should_read(start + 1500ms));
    CHECK(second.should_read(start + 2s));
    second.hear(order[1], 0s, start + 2100ms);
    second.hear(order[0], 0s, start + 2200ms);
    // The reader may fail again: whoever does read goes on for a while.
    CHECK(second.should_read(start + 2200ms));
    second.hear(order[0], 0s, start + 6s);
    CHECK_FALSE(second.should_read(start + 6s));
}

TEST_CASE("whoever has read nothing stops as soon as another has") {
    // The platform was silent for everybody, all 128 instances began to ask
    // it, and one is answered first. Each of the others would read everything
    // as well, and watch it for seconds, at a price for every call.
    const auto all = members(128);
    const auto order = reader_order(all);
    auto last = duty_at(100, all);
    last.hear(order[0], 0s, start + 1s);
    REQUIRE(last.should_read(start + 4s));
    last.hear(order[3], 0s, start + 5s);
    CHECK_FALSE(last.should_read(start + 5s));
    // Word that is old already says that its reader is lost too.
    auto other = duty_at(100, all);
    REQUIRE(other.should_read(start + 4s));
    other.hear(order[3], 2s, start + 5s);
    CHECK(other.should_read(start + 5s));
}

TEST_CASE("one that comes earlier relieves, though the first is turned away") {
    // The platform refuses a third of the machines for nine seconds, the first
    // reader among them. The next in the order reads for all, and the others
    // that had begun must not go on as long as the first is away.
    const auto all = members(20);
    const auto order = reader_order(all);
    auto later = duty_at(10, all);
    REQUIRE(later.should_read(start + 3s));
    later.hear(order[10], 0s, start + 3100ms);
    for (auto now = start + 3200ms; now <= start + 7s; now += 300ms) {
        later.hear(order[1], 0s, now);
    }
    CHECK_FALSE(later.should_read(start + 7s));
    // Word of one further down relieves nobody before it.
    auto earlier = duty_at(2, all);
    REQUIRE(earlier.should_read(start + 3s));
    for (auto now = start + 3200ms; now <= start + 7s; now += 300ms) {
        earlier.hear(order[15], 0s, now);
    }
    CHECK(earlier.should_read(start + 7s));
}
