#include <catch2/catch.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/kernel/service_registry.hpp>

using waxwingvale::error_code;
using waxwingvale::kernel::message_bus;
using waxwingvale::kernel::service_registry;

TEST_CASE("services are found by name and type") {
    service_registry registry;
    int number = 7;
    REQUIRE(registry.provide("number", number).has_value());
    CHECK(*registry.find<int>("number").value() == 7);
    CHECK(registry.find<long>("number").error().code ==
          error_code::invalid_argument);
    CHECK(registry.find<int>("other").error().code == error_code::not_found);
    CHECK(registry.provide("number", number).error().peer == "number");
}

TEST_CASE("a message reaches the subscribers of its type only") {
    message_bus bus;
    int seen = 0;
    bus.subscribe<int>([&](const int& message) { seen += message; });
    bus.publish(3);
    bus.publish(3L);
    CHECK(seen == 3);
}
