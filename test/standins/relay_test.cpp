#include <catch2/catch.hpp>

#include "standin/http_request_once.hpp"
#include "standin/process.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

// A backend server behind a relay.
struct relayed_backend {
    child_process backend{"standin-backend", {"--service-ms=0"}};
    std::uint16_t behind = backend.read_ready().at("port").get<std::uint16_t>();
    child_process relay{"standin-relay", {"--to=" + std::to_string(behind)}};
    nlohmann::json ready = relay.read_ready();
    std::uint16_t control = ready.at("port").get<std::uint16_t>();
    std::uint16_t port =
        ready.at("routes").at(0).at("port").get<std::uint16_t>();

    void set(const std::string& mode) const {
        http_post(control, "/control/route?mode=" + mode);
    }
    io::http_call call(std::chrono::milliseconds timeout) const {
        io::http_call to;
        to.host = "127.0.0.1";
        to.port = port;
        to.timeout = timeout;
        return to;
    }
    unsigned status(std::chrono::milliseconds timeout = patience) const {
        return status_of(http_request_once(call(timeout)));
    }
};

// How long an answer that must not come is waited for.
constexpr std::chrono::milliseconds no_answer{150};

} // namespace

TEST_CASE("a relay passes requests on, closes them, or swallows them") {
    relayed_backend relayed;
    CHECK(relayed.status() == 200);
    relayed.set("drop");
    CHECK(relayed.status() == 0);
    relayed.set("blackhole");
    CHECK(relayed.status(no_answer) == 0);
    relayed.set("pass&delay_ms=20");
    CHECK(relayed.status() == 200);
}

TEST_CASE("after silence new connections through a relay work") {
    relayed_backend relayed;
    kernel::event_loop loop;
    io::http_client client(loop, {});
    std::vector<unsigned> seen;
    const auto send = [&](std::chrono::milliseconds timeout) {
        const auto before = seen.size();
        client.send(relayed.call(timeout), [&](io::http_call_result r) {
            seen.push_back(status_of(r));
        });
        return wait_until([&] {
            loop.run_once(false);
            return seen.size() > before;
        });
    };
    REQUIRE(send(patience));
    relayed.set("silent");
    REQUIRE(send(no_answer));
    CHECK(relayed.status() == 200);
    CHECK(seen == std::vector<unsigned>{200, 0});
}
