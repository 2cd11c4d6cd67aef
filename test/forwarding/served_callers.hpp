#pragma once

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <waxwingvale/forwarding/caller_server.hpp>

#include "standin/raw_peer.hpp"

namespace waxwingvale::standin {

inline std::string get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// A server whose requests the test answers by hand.
struct served_callers : loop_fixture {
    std::vector<forwarding::ended_request> ended; // outlives the server
    forwarding::caller_server server{loop, timers, {}};
    std::vector<forwarding::caller_exchange_ptr> requests;

    served_callers() {
        server.on_request_ended([this](const forwarding::ended_request& each) {
            ended.push_back(each);
        });
        REQUIRE(server.start([this](forwarding::caller_exchange_ptr request) {
            requests.push_back(std::move(request));
        }));
    }

    std::unique_ptr<raw_connection> caller() {
        return connect_to(loop, server.port());
    }
    bool await_requests(std::size_t count) {
        return run_until([&] { return requests.size() == count; });
    }
    bool await_ends(std::size_t count) {
        return run_until([&] { return ended.size() == count; });
    }
    // A caller whose first request was answered and whose connection is kept.
    std::unique_ptr<raw_connection> kept_caller() {
        auto kept = caller();
        kept->send(get("/first"));
        REQUIRE(await_requests(1));
        requests[0]->answer({204, {}, ""});
        REQUIRE(run_until([&] { return kept->received_contains("204"); }));
        return kept;
    }
    // Longer than a connection must have been idle to be closed by a stop.
    void let_it_rest() { run_for(std::chrono::milliseconds(150)); }
    // The process gets no processor time; what is sent to it waits.
    static void stand_still(duration time) {
        std::this_thread::sleep_for(time);
    }
};

} // namespace waxwingvale::standin
