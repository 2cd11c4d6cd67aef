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

// Bytes of the record of one member and the records of two backend servers,
// with message overhead.
constexpr std::uint64_t bytes_per_member = 110 + 2 * 85;

// Bytes that the fleet would send if each instance received each record once.
std::uint64_t bytes_received_once(unsigned instances) {
    return std::uint64_t{instances} * instances * bytes_per_member;
}

bool is_complete(const fleet_simulation& fleet, unsigned instances) {
    return fleet.running_count() == instances &&
           fleet.count_with_complete_registry() == instances &&
           fleet.count_with_complete_membership() == instances;
}

} // namespace

TEST_CASE("a simultaneous start of all instances is quick and sends little") {
    // Guards against instances that send each other records which all of them
    // already have: links and processors stay overloaded, address lookups fail
    // and callers find no instance. Hundreds of small machines start in the
    // same second, after a power failure or in a new installation, and each has
    // to learn of all other instances and all backend servers.
    const auto instances = GENERATE(30U, 100U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    const auto took =
        fleet.run_until([&] { return is_complete(fleet, instances); }, 10s);
    CAPTURE(instances, fleet.count_with_complete_registry(),
            fleet.count_with_complete_membership());
    // The processes of weak machines are up after at most 2.1 s.
    CHECK(took < 2100ms + 3s);
    CHECK(fleet.traffic().bytes < 4 * bytes_received_once(instances));
}

TEST_CASE(
    "a small fleet that starts at once agrees on its members within 500 ms") {
    // Guards against slots that several data centres use at the same time, so
    // that requests queue inside the backend servers. All processes were killed
    // and restart at the same moment. Each data centre first finds its own seed
    // and, until it learns of the others, has its own owner for the same slots.
    fleet_shape shape = shape_of(17);
    shape.data_centres = 3;
    fleet_simulation fleet(shape);
    for (unsigned each = 0; each < shape.instances; ++each) {
        fleet.start(each, each * 2ms);
    }
    const auto took = fleet.run_until(
        [&] { return fleet.count_with_complete_membership() == 17; }, 10s);
    CAPTURE(took / 1ms, fleet.count_with_complete_membership());
    CHECK(took < 500ms);
}

TEST_CASE("a fleet without changes sends little") {
    // The traffic of a fleet in which nothing changes is paid for in every
    // second of the year.
    const auto instances = GENERATE(30U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_complete(fleet, instances));
    fleet.reset_traffic();
    fleet.run_for(10s);
    CAPTURE(instances, fleet.traffic().bytes);
    CHECK(fleet.traffic().bytes / instances / 10 < 300);
}

TEST_CASE("a fleet whose central instances are at capacity sends little") {
    // Guards against instances that keep asking central instances which have
    // declined them: each time they would leave their upstream peer and compare
    // all tables again. All machines are small, and the central ones accept
    // fewer subscribers than there are instances; the others subscribe
    // elsewhere.
    constexpr unsigned instances = 120;
    auto shape = shape_of(instances);
    shape.strong_per_data_centre = 0;
    fleet_simulation fleet(shape);
    fleet.start_all();
    fleet.run_for(15s);
    REQUIRE(is_complete(fleet, instances));
    fleet.reset_traffic();
    fleet.run_for(10s);
    CAPTURE(fleet.traffic().bytes);
    CHECK(fleet.traffic().bytes / instances / 10 < 300);
}

TEST_CASE("a new backend server is known to all instances within a second") {
    // Guards against an instance that does not learn of a new backend server
    // and sends it no requests, and against one that receives the update dozens
    // of times and spends its processor time on that.
    const auto instances = GENERATE(30U, 313U);
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_complete(fleet, instances));
    fleet.reset_traffic();
    fleet.register_server("i-new");
    const auto took = fleet.run_until(
        [&] { return fleet.count_knowing("i-new") == instances; }, 2s);
    CHECK(took < 1s);
    CAPTURE(instances, took / 1ms);
    CHECK(fleet.traffic().bytes_by_kind.at("records") / instances < 200);
}

TEST_CASE("instances agree again after a tenth of the fleet is lost") {
    // Guards against requests to a backend server that left just after
    // instances lost their upstream peers. A rack loses power, and some of its
    // instances had subscribers, which have to find another upstream peer in
    // time.
    constexpr unsigned instances = 100;
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_complete(fleet, instances));
    for (unsigned each = 0; each < instances; each += 10) {
        fleet.kill(each);
    }
    fleet.remove_server("i-10003");
    const auto running = fleet.running_count();
    const auto took = fleet.run_until(
        [&] { return fleet.count_with_complete_registry() == running; }, 10s);
    CAPTURE(running, fleet.count_with_complete_registry());
    CHECK(took < 2s);
    fleet.run_for(5s);
    CHECK(fleet.count_with_complete_membership() == running);
}

TEST_CASE("the parts of a partitioned fleet catch up after the partition") {
    // A third of the machines is cut off from the others and from the platform
    // for 12 s, while one server leaves and another registers. Afterwards each
    // side's updates have to reach the other, although all links open at once.
    constexpr unsigned instances = 100;
    fleet_simulation fleet(shape_of(instances));
    fleet.start_all();
    fleet.run_for(12s);
    REQUIRE(is_complete(fleet, instances));
    std::set<unsigned> separated;
    for (unsigned each = 0; each < instances; each += 3) {
        separated.insert(each);
    }
    fleet.partition(separated);
    fleet.let_platform_answer(
        [separated](unsigned number) { return separated.count(number) == 0; });
    fleet.run_for(6s);
    fleet.remove_server("i-10003");
    fleet.register_server("i-new");
    fleet.run_for(6s);
    fleet.heal();
    fleet.let_platform_answer([](unsigned) { return true; });
    const auto took =
        fleet.run_until([&] { return is_complete(fleet, instances); }, 20s);
    CAPTURE(took / 1ms, fleet.count_with_complete_registry(),
            fleet.count_with_complete_membership());
    CHECK(is_complete(fleet, instances));
}

// Prints the traffic between instances by fleet size, for the capacity page.
TEST_CASE("traffic of a fleet by its size", "[.figures]") {
    std::cout << "instances, ms from start to complete tables, bytes per "
                 "instance until then, bytes per instance and second without "
                 "changes, bytes per instance in the first second of a new "
                 "server, most bytes sent by one instance until complete\n";
    for (const auto instances : {12U, 30U, 100U, 313U, 710U}) {
        fleet_simulation fleet(shape_of(instances));
        fleet.start_all();
        const auto took =
            fleet.run_until([&] { return is_complete(fleet, instances); }, 20s);
        const auto start = fleet.traffic();
        fleet.run_for(12s);
        fleet.reset_traffic();
        fleet.run_for(10s);
        const auto rest = fleet.traffic().bytes;
        fleet.reset_traffic();
        fleet.register_server("i-new");
        fleet.run_for(1s);
        std::cout << instances << ", " << took / 1ms << ", "
                  << start.bytes / instances << ", " << rest / instances / 10
                  << ", " << fleet.traffic().bytes / instances << ", "
                  << start.most_bytes_of_one << "\n";
    }
}
