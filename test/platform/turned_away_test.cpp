#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "forwarding/request_reader.hpp"
#include "platform/request_headers.hpp"
#include "platform/sample_configuration.hpp"

using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

// The route that the bytes of a request are led to, or what is wrong.
std::string route_of(const configuration& config, std::string bytes) {
    forwarding::request_reader reader;
    const auto step = reader.read(bytes, {});
    if (step != forwarding::request_reader::step::head) {
        return std::to_string(reader.fault().status);
    }
    const auto understood =
        request_headers().understand(config, reader.request());
    return understood ? understood.value().kind.name
                      : understood.error().detail;
}

std::string get(const std::string& target, const std::string& host) {
    return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

route route_to(const std::string& prefix) {
    route made;
    made.host = "a.example";
    made.targets = {{"view", 1}};
    made.kind.name = prefix;
    made.kind.path_prefix = prefix;
    return made;
}

rc::Gen<std::string> some_path(const char* letters, std::size_t most) {
    return rc::gen::map(
        rc::gen::resize(static_cast<int>(most),
                        rc::gen::container<std::string>(
                            rc::gen::elementOf(std::string(letters)))),
        [](const std::string& rest) { return "/" + rest; });
}

} // namespace

TEST_CASE("every way to write a proper request leads to its route") {
    // Guards against 404 and 400 for what the configuration allows.
    const auto config = read_sample();
    const auto target = GENERATE(
        "/look/1", "/look/", "/look//1", "/look/a%2Fb", "/look/%2F", "/look/?",
        "/look/1?a=/look/book/", "/look/1?q=http://b.example/x", "/look/book",
        "/look/booking/1", "/look/1;v=2", "/look/./1", "/look/:x@y",
        "http://a.example/look/1", "HTTP://A.EXAMPLE:8381/look/1?q=/");
    const auto host =
        GENERATE("a.example", "A.Example", "a.example:8381", "a.example:80 ");
    INFO(target << " at " << host);
    CHECK(route_of(config, get(target, host)) == "look");
}

TEST_CASE("hosts and prefixes decide, and nothing before or after them") {
    const auto config = read_sample();
    CHECK(route_of(config, get("/look/book/", "a.example")) == "book");
    CHECK(route_of(config, get("/look/book//", "a.example")) == "book");
    CHECK(route_of(config, get("/", "b.example")) == "fetch");
    CHECK(route_of(config, get("//", "b.example:1")) == "fetch");
    CHECK(route_of(config, get("http://b.example", "a.example")) == "fetch");
    CHECK(route_of(config, get("http://b.example?q", "b.example")) == "fetch");
    CHECK(route_of(config, "\r\n" + get("/x", "b.example")) == "fetch");
    CHECK(route_of(config, "GET /x HTTP/1.0\r\nhost:b.example\r\n\r\n") ==
          "fetch");
    CHECK(route_of(config, get("/look", "a.example")) ==
          "no route for a.example /look");
}

TEST_CASE("the longest prefix that begins the path is found, whatever it is") {
    const bool holds = rc::check("as by trying all", [] {
        const auto raw =
            *rc::gen::container<std::vector<std::string>>(some_path("ab/%", 6));
        auto path = *some_path("ab/%", 12);
        std::vector<route> routes;
        std::string longest;
        for (const auto& each : raw) {
            const auto prefix = each.back() == '/' ? each : each + "/";
            routes.push_back(route_to(prefix));
            if (path.compare(0, prefix.size(), prefix) == 0 &&
                prefix.size() > longest.size()) {
                longest = prefix;
            }
        }
        const route_table table(routes);
        const auto* found = table.find("A.example:7", path + "?/a/b/");
        RC_ASSERT((found == nullptr ? "" : found->kind.name) == longest);
    });
    CHECK(holds);
}
