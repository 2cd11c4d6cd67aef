#include <catch2/catch.hpp>
#include <set>
#include <string>

#include <waxwingvale/decision/check_targets.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Three services of three servers, in as many data centres.
configuration three_by_three() {
    configuration made;
    for (const std::string name : {"view", "book", "pay"}) {
        service of;
        of.name = name;
        for (const std::string data_centre : {"a", "b", "c"}) {
            backend_server server;
            server.name = name;
            server.name += "-";
            server.name += data_centre;
            server.data_centre = data_centre;
            of.backend_servers.push_back(server);
        }
        made.services.push_back(of);
    }
    return made;
}

} // namespace

// Guards against a partition that is seen where one service, or one data
// centre, is down.
TEST_CASE("a check asks servers of all services and data centres") {
    const auto config = three_by_three();
    std::set<std::string> asked;
    for (std::uint64_t round = 0; round < 50; ++round) {
        std::set<std::string> services;
        std::set<std::string> data_centres;
        for (const auto& each : servers_to_check(config, {}, round)) {
            services.insert(each.of->name);
            data_centres.insert(each.server->data_centre);
            asked.insert(each.server->name);
        }
        CHECK(services.size() == 3);
        CHECK(data_centres.size() == 3);
    }
    CHECK(asked.size() == 9);
}

// Guards against a check of servers of which it is known that they are down.
TEST_CASE("a check asks servers that have not failed before others") {
    const auto config = three_by_three();
    const std::set<std::string> failed = {"view-a", "view-b", "view-c",
                                          "book-a", "book-b", "pay-c"};
    std::set<std::string> asked;
    for (const auto& each : servers_to_check(config, failed, 7)) {
        asked.insert(each.server->name);
    }
    CHECK(asked == std::set<std::string>{"book-c", "pay-a", "pay-b"});
}
