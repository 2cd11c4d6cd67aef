#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/instance_group.hpp"
#include "platform/stand_in_store.hpp"
#include <waxwingvale/io/http_client.hpp>

namespace waxwingvale::platform {

// A backend server that answers everything at once, and counts requests.
struct counting_server {
    counting_server(kernel::event_loop& loop, std::string id)
        : name(std::move(id)), server(loop, {}) {
        const auto started =
            server.start([this](const io::http_request& request,
                                const io::http_responder& respond) {
                answer(request, respond);
            });
        REQUIRE(started.has_value());
    }

    void answer(const io::http_request& request,
                const io::http_responder& respond) {
        io::http_response made;
        made.status = 200;
        made.headers = stated;
        made.headers.push_back({"Waxwingvale-Instance-Id", name});
        made.headers.push_back({"Waxwingvale-Server-Load", "0,0,4"});
        if (turns_away) {
            ++requests;
            made.status = 503;
            made.headers.push_back({"Waxwingvale-Not-Executed", "1"});
            made.headers.push_back({"Retry-After", rest});
        } else if (request.target != "/healthz") {
            ++requests;
            made.headers.push_back({"Waxwingvale-Response-Signature", "s"});
            const auto* id =
                io::find_header(request.headers, "Waxwingvale-Attempt-Id");
            made.headers.push_back({"Waxwingvale-Attempt-Id", *id});
        }
        respond(std::move(made));
    }

    std::string name;
    io::http_headers stated; // in all answers
    bool turns_away = false; // all requests and probes
    std::string rest = "3";  // seconds for which it asks then
    unsigned requests = 0;
    io::http_server server; // last: it answers while it ends
};

// Two instances in each of two zones, and a backend server in each zone. Each
// zone is a region of its own.
struct two_zones {
    // Requests may run in those regions; empty: in both.
    explicit two_zones(std::vector<std::string> regions = {})
        : homes(std::move(regions)) {
        store.write(operator_text());
        for (const auto& zone : zones) {
            servers[zone] =
                std::make_unique<counting_server>(loop, "i-" + zone);
            store.put("servers/i-" + zone, entry_of(zone));
        }
        instances.start();
    }

    std::string operator_text() const {
        nlohmann::json route = {
            {"Name", "look"},         {"Host", "a.example"},
            {"PathPrefix", "/look/"}, {"Kind", "non_idempotent"},
            {"Timeout", 800},         {"MaxAttempts", 2},
            {"Service", "view"}};
        if (!homes.empty()) {
            route["AllowedRegions"] = homes;
        }
        return nlohmann::json{
            {"Version", 1},
            {"Routes", {{"look", route}}},
            {"Services",
             {{"view", {{"Name", "view"}, {"HealthPath", "/healthz"}}}}}}
            .dump();
    }

    std::string entry_of(const std::string& zone) const {
        return nlohmann::json{
            {"Service", "view"},
            {"Address",
             "127.0.0.1:" + std::to_string(servers.at(zone)->server.port())},
            {"Zone", zone},
            {"Version", "v1"},
            {"MaxConcurrency", 4},
            {"State", "ready"},
            {"ColdRemaining", 0},
            {"Sequence", 1}}
            .dump();
    }

    // Kills an instance's process and starts it again.
    void restart(std::size_t number) { instances.restart(number); }

    void ask(std::uint16_t port) {
        io::http_call call;
        call.host = "127.0.0.1";
        call.port = port;
        call.method = "POST";
        call.target = "/look/1";
        call.headers = {{"Host", "a.example"},
                        {"Waxwingvale-Attempt-Id", std::to_string(++asked)},
                        {"Waxwingvale-Request-Deadline", "800"}};
        call.timeout = std::chrono::seconds(2);
        client.send(std::move(call), [this](const io::http_call_result& ended) {
            if (ended.response) {
                const auto& answer = ended.response.value();
                ++answers[answer.status];
                come_back_named +=
                    io::find_header(answer.headers, "Retry-After") != nullptr
                        ? 1
                        : 0;
            }
        });
    }

    void go_on(duration time) {
        const auto asking =
            timers.every(std::chrono::milliseconds(10), [this](time_point) {
                for (std::size_t each = 0; each < instances.size(); ++each) {
                    ask(instances.caller_port(each));
                }
            });
        const auto until = timers.now() + time;
        while (timers.now() < until) {
            loop.run_once(true);
        }
    }

    // Forgets what was counted so far, and counts for that long.
    void count_for(duration time) {
        for (auto& each : servers) {
            each.second->requests = 0;
        }
        answers.clear();
        come_back_named = 0;
        go_on(time);
    }

    unsigned requests_in(const std::string& zone) const {
        return servers.at(zone)->requests;
    }

    std::vector<std::string> homes;
    std::vector<std::string> zones = {"north", "south"};
    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};
    stand_in_store store{loop, timers};
    std::map<std::string, std::unique_ptr<counting_server>> servers;
    io::http_client client{loop, {}};
    std::map<unsigned, unsigned> answers;
    unsigned come_back_named = 0;
    unsigned asked = 0;
    instance_group instances{4, zones, store.port()};
};

} // namespace waxwingvale::platform
