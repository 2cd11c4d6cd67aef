#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>
#include <set>

#include "fleet_simulation.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

fleet_shape shape_of(unsigned instances) {
    fleet_shape shape;
    shape.instances = instances;
    shape.backend_servers = 2 * instances;
    return shape;
}

// A record of a member, and one of each of two backend servers a member, with
// what carries them.
constexpr std::uint64_t bytes_for_one_of_all = 110 + 2 * 85;

// What the fleet would send if each instance heard each record once.
std::uint64_t bytes_heard_once(unsigned instances) {
    return std::uint64_t{instances} * instances * bytes_for_one_of_all;
}

bool is_whole(const fleet_simulation& fleet, unsigned instances) {
    return fleet.running() == instances &&
           fleet.with_whole_registry() == instances &&
           fleet.with_all_members() == instances;
}

} // namespace

TEST_CASE("a start of all costs what must be heard, and is soon over") {
    // A power failure ends, or a new installation starts, and hundreds of
    // small machines come up in the same second. Each has to hear of all others
    // and of all backend servers. If they repeat to each other what all have
    // heard, links and processors are full for the whole day, look-ups of
    // addresses fail and callers find nobody.
    const auto instances = GENERATE(30U, 100U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    const auto took =
        fleet.run_until([&] { return is_whole(fleet, instances); }, 10s);
    CAPTURE(instances, fleet.with_whole_registry(), fleet.with_all_members());
    // Weak machines need up to 2.1 s until their process is there.
    CHECK(took < 2100ms + 3s);
    CHECK(fleet.traffic().bytes < 4 * bytes_heard_once(instances));
}

TEST_CASE("a small fleet that starts at one moment is one fleet at once") {
    // All processes are killed and are back in the same moment. Each data
    // centre finds its own seed first; while they know nothing of each other,
    // each has an owner of its own for the same slots, and requests wait inside
    // the backend servers behind those of two others.
    fleet_shape shape = shape_of(17);
    shape.data_centres = 3;
    fleet_simulation fleet(shape);
    for (unsigned each = 0; each < shape.instances; ++each) {
        fleet.start(each, each * 2ms);
    }
    const auto took =
        fleet.run_until([&] { return fleet.with_all_members() == 17; }, 10s);
    CAPTURE(took / 1ms, fleet.with_all_members());
    CHECK(took < 500ms);
}

TEST_CASE("a fleet at rest says little") {
    // Nothing changes for a while. What instances say to each other then is
    // paid for every second of the year.
    const auto instances = GENERATE(30U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_whole(fleet, instances));
    fleet.forget_traffic();
    fleet.run_for(10s);
    CAPTURE(instances, fleet.traffic().bytes);
    CHECK(fleet.traffic().bytes / instances / 10 < 300);
}

TEST_CASE("a fleet whose central instances have no more room is at rest") {
    // All machines are small, and the central ones can tell their news to fewer
    // than there are. Who was declined listens to others; if it went on asking
    // the central ones in short order, it would leave its feed each time, and
    // compare all its tables anew.
    constexpr unsigned instances = 120;
    auto shape = shape_of(instances);
    shape.strong_per_data_centre = 0;
    fleet_simulation fleet(shape);
    fleet.start_all();
    fleet.run_for(15s);
    REQUIRE(is_whole(fleet, instances));
    fleet.forget_traffic();
    fleet.run_for(10s);
    CAPTURE(fleet.traffic().bytes);
    CHECK(fleet.traffic().bytes / instances / 10 < 300);
}

TEST_CASE("one changed backend server reaches all within a second") {
    // A backend server registers itself. An instance that does not hear of it
    // sends it nothing, and one that hears of it dozens of times spends its
    // processor on that.
    const auto instances = GENERATE(30U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_whole(fleet, instances));
    fleet.forget_traffic();
    fleet.register_server("i-new");
    const auto took = fleet.run_until(
        [&] { return fleet.that_know("i-new") == instances; }, 2s);
    CHECK(took < 1s);
    CAPTURE(instances, took / 1ms);
    CHECK(fleet.traffic().bytes_by_kind.at("records") / instances < 200);
}

TEST_CASE("instances that lost a tenth of the fleet agree again") {
    // A rack loses power: its instances answer nobody, among them some that
    // told others the news. Whoever listened to them has to find another
    // before a backend server that leaves meanwhile is given work.
    constexpr unsigned instances = 100;
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_whole(fleet, instances));
    for (unsigned each = 0; each < instances; each += 10) {
        fleet.kill(each);
    }
    fleet.remove_server("i-10003");
    const auto running = fleet.running();
    const auto took = fleet.run_until(
        [&] { return fleet.with_whole_registry() == running; }, 10s);
    CAPTURE(running, fleet.with_whole_registry());
    CHECK(took < 2s);
    fleet.run_for(5s);
    CHECK(fleet.with_all_members() == running);
}

TEST_CASE("parts of a fleet that were cut off catch up once they are back") {
    // A third of the machines is cut off from the others and from the platform
    // for 12 s, while servers leave and others come. What each side learned
    // meanwhile has to reach the other although all links open at once.
    constexpr unsigned instances = 100;
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_whole(fleet, instances));
    std::set<unsigned> apart;
    for (unsigned each = 0; each < instances; each += 3) {
        apart.insert(each);
    }
    fleet.cut(apart);
    fleet.let_platform_answer(
        [apart](unsigned number) { return apart.count(number) == 0; });
    fleet.run_for(6s);
    fleet.remove_server("i-10003");
    fleet.register_server("i-new");
    fleet.run_for(6s);
    fleet.heal();
    fleet.let_platform_answer([](unsigned) { return true; });
    const auto took =
        fleet.run_until([&] { return is_whole(fleet, instances); }, 20s);
    CAPTURE(took / 1ms, fleet.with_whole_registry(), fleet.with_all_members());
    CHECK(is_whole(fleet, instances));
}

// Prints the growth of what instances tell each other, for the capacity page.
TEST_CASE("what a fleet says by its size", "[.figures]") {
    std::cout << "instances, ms from start to whole, bytes an instance of it, "
                 "bytes an instance and second at rest, bytes an instance of "
                 "one changed server in its first second, most bytes of one "
                 "instance at the start\n";
    for (const auto instances : {12U, 30U, 100U, 313U, 710U}) {
        fleet_simulation fleet(shape_of(instances));
        fleet.start_all();
        const auto took =
            fleet.run_until([&] { return is_whole(fleet, instances); }, 20s);
        const auto start = fleet.traffic();
        fleet.run_for(12s);
        fleet.forget_traffic();
        fleet.run_for(10s);
        const auto rest = fleet.traffic().bytes;
        fleet.forget_traffic();
        fleet.register_server("i-new");
        fleet.run_for(1s);
        std::cout << instances << ", " << took / 1ms << ", "
                  << start.bytes / instances << ", " << rest / instances / 10
                  << ", " << fleet.traffic().bytes / instances << ", "
                  << start.most_bytes_of_one << "\n";
    }
}
