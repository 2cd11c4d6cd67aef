#include <catch2/catch.hpp>
#include <string>

#include <waxwingvale/io/link_traffic.hpp>

using namespace waxwingvale::io;

TEST_CASE("what is sent over links is counted by kind and by how far it goes") {
    link_traffic traffic;
    traffic.record("sea-2", "grant", 10);
    traffic.locate_by([](const std::string& peer) { return peer == "pdx-1"; });
    traffic.record("sea-2", "grant", 20);
    traffic.record("pdx-1", "grant", 300);
    traffic.record("pdx-1", "records", 4000);
    CHECK(traffic.sent().at({"grant", false}) == traffic_sum{2, 30});
    CHECK(traffic.sent().at({"grant", true}) == traffic_sum{1, 300});
    CHECK(traffic.sent().at({"records", true}) == traffic_sum{1, 4000});
    CHECK(traffic.sent().size() == 3);
}
