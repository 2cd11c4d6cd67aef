#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "entry/caller_world.hpp"
#include "entry/long_body.hpp"
#include "forwarding/request_reader.hpp"
#include "forwarding/wire_text.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using standin::caller_world;
using standin::raw_connection;

namespace {

enum class framing { length, chunks };

constexpr std::size_t piece = 16 * 1024;       // bytes sent at once
constexpr std::size_t keepable = 700 * 1000;   // bytes
constexpr std::size_t too_long = 3 * 1000'000; // bytes
const std::string turned_away = "HTTP/1.1 503 Service Unavailable\r\n"
                                "Waxwing-Not-Started: 1\r\n"
                                "Content-Length: 0\r\n\r\n";

// No two places of it are alike.
std::string body_of(std::size_t size) {
    std::string body;
    while (body.size() < size) {
        body += std::to_string(body.size()) + "\n";
    }
    body.resize(size);
    return body;
}

// A caller that uploads a body to two servers, a piece at a time.
struct uploading : caller_world {
    std::unique_ptr<raw_connection> from = caller();
    std::string body;
    framing how;
    std::size_t sent = 0;

    uploading(std::size_t size, framing by)
        : caller_world(1), body(body_of(size)), how(by) {
        auto& budgets = config.services[0].budgets;
        budgets.repeat_window = 100ms;
        budgets.repeat_extra = 1000;
        publish();
        const std::string length =
            how == framing::length
                ? "Content-Length: " + std::to_string(size) + "\r\n"
                : "Transfer-Encoding: chunked\r\n";
        from->send("POST /desk/x HTTP/1.1\r\nHost: h\r\nWaxwing-Tenant: t\r\n" +
                   length + "\r\n");
    }

    void send_up_to(std::size_t size) {
        while (sent < size) {
            const auto next = body.substr(sent, std::min(piece, size - sent));
            from->send(how == framing::chunks ? forwarding::chunk(next) : next);
            sent += next.size();
        }
        if (sent == body.size() && how == framing::chunks) {
            from->send(std::string(forwarding::last_chunk()));
        }
    }
    // The connection that has brought a server bytes; null: none has.
    raw_connection* reached(const raw_connection* but = nullptr) {
        for (auto* server : {&a, &b}) {
            auto* busy = busy_connection(*server);
            if (busy != nullptr && busy != but) {
                return busy;
            }
        }
        return nullptr;
    }
    // The body of the whole request that a server has got there.
    static std::string body_at(const raw_connection& server) {
        forwarding::request_reader reader;
        auto bytes = server.received();
        std::string read;
        for (auto at = reader.read(bytes, {});
             at != forwarding::request_reader::step::need_more;
             at = reader.read(bytes, {})) {
            if (at == forwarding::request_reader::step::complete) {
                return reader.request().body;
            }
        }
        return "no whole request";
    }
    bool has_whole_request(const raw_connection& server) const {
        return body_at(server).size() == body.size();
    }
};

} // namespace

// Guards against an upload that runs with a part of its body, which the server
// that turned it away had read.
TEST_CASE("an upload that a server turns away reaches the next one whole") {
    const auto how = GENERATE(framing::length, framing::chunks);
    const bool early = GENERATE(false, true);
    CAPTURE(static_cast<int>(how), early);
    uploading f(keepable, how);
    f.send_up_to(early ? keepable / 2 : keepable);
    REQUIRE(f.run_until([&] { return f.reached() != nullptr; }));
    auto* first = f.reached();
    if (early) {
        f.run_for(50ms);
    } else {
        REQUIRE(f.run_until([&] { return f.has_whole_request(*first); }));
    }
    first->send(turned_away);
    REQUIRE(f.run_until([&] { return f.reached(first) != nullptr; }));
    auto* second = f.reached(first);
    f.send_up_to(keepable);
    REQUIRE(f.run_until([&] { return f.has_whole_request(*second); }));
    CHECK(uploading::body_at(*second) == f.body);
    f.answer(*second, "HTTP/1.1 200 OK\r\n");
    CHECK(f.run_until([&] { return f.from->received_contains("200 OK"); }));
}

// Guards against an upload that runs without what is no longer at hand, and
// against a caller that waits for it or is not told that it may send it again.
TEST_CASE("an upload that is too long to be kept is refused once turned away") {
    const auto how = GENERATE(framing::length, framing::chunks);
    CAPTURE(static_cast<int>(how));
    uploading f(too_long, how);
    f.send_up_to(too_long / 2);
    REQUIRE(f.run_until([&] { return f.reached() != nullptr; }));
    auto* first = f.reached();
    f.run_for(100ms);
    first->send(turned_away);
    CHECK(f.run_until([&] { return f.from->received_contains("\r\n\r\n"); }));
    CHECK(f.from->received_contains("HTTP/1.1 503 "));
    CHECK(f.from->received_contains("Waxwing-Outcome: not-run"));
    CHECK(f.from->received_contains("Retry-After-Ms: "));
    CHECK(f.reached(first) == nullptr);
    CHECK(f.desk.open_calls() == 0);
}

// Guards against copies that outgrow the memory when many upload at once.
TEST_CASE("copies of long bodies stay within what one and all may take") {
    entry::copy_budget budget(100, 250);
    CHECK(budget.try_take(0, 100));
    CHECK_FALSE(budget.try_take(100, 1));
    CHECK(budget.try_take(0, 60));
    CHECK(budget.try_take(60, 40));
    CHECK_FALSE(budget.try_take(0, 51));
    CHECK(budget.used() == 200);
    budget.give_back(100);
    CHECK(budget.try_take(0, 51));
}
