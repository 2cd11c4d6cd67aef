#include <catch2/catch.hpp>

#include "entry/listed_processes.hpp"

using namespace waxwingvale;
using decision::server_sign;
using entry::listed_processes;

namespace {

backend_server server(const std::string& name, std::uint16_t port,
                      backend_incarnation incarnation = 0) {
    backend_server made;
    made.name = name;
    made.host = "10.0.0.1";
    made.port = port;
    made.incarnation = incarnation;
    return made;
}

view view_of(std::vector<backend_server> servers) {
    configuration made;
    service of;
    of.name = "desk";
    of.backend_servers = std::move(servers);
    made.services = {of};
    view now;
    now.config = std::make_shared<const configuration>(made);
    return now;
}

// The signs that a change of the listing shows, by server.
std::map<std::string, server_sign> signs_of(listed_processes& by,
                                            const view& now) {
    std::map<std::string, server_sign> signs;
    for (const auto& each : by.follow(now)) {
        signs[each.process.backend_server] = each.sign;
    }
    return signs;
}

using signs = std::map<std::string, server_sign>;

} // namespace

// Guards against ends that show as silence only, and are never noticed.
TEST_CASE("a process whose entry goes or whose address is taken has ended") {
    listed_processes listed;
    CHECK(signs_of(listed, view_of({server("a", 1), server("b", 2)})).empty());
    CHECK(signs_of(listed, view_of({server("b", 2)})) ==
          signs{{"a", server_sign::unlisted}});
    CHECK(signs_of(listed, view_of({server("b", 2), server("c", 1)})) ==
          signs{{"a", server_sign::replaced}});
    CHECK(signs_of(listed,
                   view_of({server("b", 2), server("c", 1), server("d", 2)})) ==
          signs{{"b", server_sign::replaced}});
    CHECK(signs_of(listed, view_of({server("b", 2, 4), server("c", 1),
                                    server("d", 2)})) ==
          signs{{"b", server_sign::replaced}});
}

// Guards against living servers that are taken for ended, since their entries
// were lost for a while, they leave, or an operator wants nothing sent there.
TEST_CASE("a process that is listed again, or leaves, has not ended") {
    listed_processes listed;
    listed.follow(view_of({server("a", 1), server("b", 2)}));
    listed.follow(view_of({server("b", 2)}));
    CHECK(signs_of(listed, view_of({server("a", 1), server("b", 2)})) ==
          signs{{"a", server_sign::answered}});
    auto without_a = view_of({server("b", 2)});
    without_a.evacuated_servers = {{"desk", "a", "pdx"}};
    CHECK(signs_of(listed, without_a).empty());
    auto without_b = view_of({});
    without_b.beliefs.resize(1);
    without_b.beliefs[0].backend_server = "b";
    without_b.beliefs[0].state = backend_state::leaving;
    CHECK(signs_of(listed, without_b).empty());
}
