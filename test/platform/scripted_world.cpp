#include "platform/scripted_world.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration piece_period = 1ms;
constexpr duration noticed_within = 1500ms; // a partition
constexpr std::size_t instance_count = 3;

json route(const char* name, const char* prefix, const char* kind) {
    return {{"Name", name},     {"Host", "a.example"}, {"PathPrefix", prefix},
            {"Kind", kind},     {"Timeout", 3000},     {"MaxAttempts", 2},
            {"Service", "view"}};
}

std::string operator_text() {
    json routes;
    routes["look"] = route("look", "/look/", "idempotent");
    routes["fetch"] = route("fetch", "/fetch/", "download");
    routes["book"] = route("book", "/book/", "non_idempotent");
    json services;
    services["view"] = {{"Name", "view"}, {"HealthPath", scripted_check_path}};
    const json limits = {{"MaxHeaderBytes", 16384},
                         {"MaxBodyBytes", 64 * 1024 * 1024},
                         {"HeaderTimeout", 3000},
                         {"IdleTimeout", 15000}};
    return json{{"Version", 1},
                {"Routes", routes},
                {"Services", services},
                {"Limits", limits}}
        .dump();
}

} // namespace

raw_call::raw_call(kernel::event_loop& loop, kernel::timer_service& timers,
                   std::uint16_t port, const raw_request& request,
                   std::string id)
    : request_(request),
      id_(std::move(id)),
      left_(request.body_size),
      connection_(standin::connect_to(loop, port)) {
    auto text = request.method + " " + request.target + " " + request.version +
                "\r\nHost: a.example\r\nConnection: close\r\n"
                "Waxwingvale-Attempt-Id: " +
                id_ + "\r\nWaxwingvale-Request-Deadline: 2500\r\n";
    if (request.chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (request.body_size > 0 || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body_size) + "\r\n";
    }
    text += "\r\n";
    if (request.at_once > 0) {
        text += framed(request.at_once);
        left_ -= request.at_once;
    }
    connection_->send(text);
    if (left_ > 0) {
        sending_ =
            timers.every(piece_period, [this](time_point) { send_piece(); });
    }
}

std::string raw_call::framed(std::size_t bytes) const {
    std::string piece(bytes, 'u');
    if (!request_.chunked) {
        return piece;
    }
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + piece + "\r\n";
}

void raw_call::send_piece() {
    if (connection_->ended()) {
        sending_.cancel();
        return;
    }
    const auto bytes = std::min(left_, request_.piece);
    left_ -= bytes;
    connection_->send(framed(bytes));
    if (left_ == 0) {
        if (request_.chunked) {
            connection_->send("0\r\n\r\n");
        }
        sending_.cancel();
    }
}

received_answer raw_call::answer() const {
    const auto state = !connection_->ended() ? connection_state::open
                       : connection_->ended_by_reset()
                           ? connection_state::reset
                           : connection_state::closed;
    return read_received(bytes(), state);
}

bool raw_call::over() const {
    return connection_->ended();
}

scripted_world::scripted_world(scripted_server::script answers,
                               std::size_t server_count,
                               const std::string& program)
    : instances(instance_count, {"north"}, store.port(),
                {{"probes_per_second", 20}, {"retries", 1}, {"repeats", 1}},
                program) {
    store.write(operator_text());
    for (std::size_t each = 0; each < server_count; ++each) {
        servers.push_back(std::make_unique<scripted_server>(
            loop, timers, "i-" + std::to_string(each), answers));
        store.put("servers/" + servers.back()->id(), servers.back()->entry());
    }
    instances.start();
    if (!serves_a_read()) {
        throw std::runtime_error("the instances do not serve in calm");
    }
    run_for(500ms);
}

std::unique_ptr<raw_call> scripted_world::call(std::size_t by_instance,
                                               const raw_request& request) {
    return std::make_unique<raw_call>(
        loop, timers, instances.caller_port(by_instance % instances.size()),
        request, "c-" + std::to_string(++calls_));
}

bool scripted_world::finish(const raw_call& call) {
    return run_until([&] { return call.over(); });
}

void scripted_world::partition_first() {
    std::vector<std::uint16_t> ports;
    for (const auto& each : servers) {
        ports.push_back(each->port());
    }
    instances.fail_connects(0, ENETUNREACH, ports);
    for (const auto& each : servers) {
        each->reset_connections();
    }
    run_for(noticed_within);
}

unsigned scripted_world::arrivals(const std::string& id) const {
    unsigned count = 0;
    for (const auto& each : servers) {
        count += each->arrivals(id);
    }
    return count;
}

unsigned scripted_world::used_again() const {
    unsigned count = 0;
    for (const auto& each : servers) {
        count += each->used_again();
    }
    return count;
}

bool scripted_world::serves_a_read() {
    std::size_t serving = 0;
    std::unique_ptr<raw_call> asked;
    return run_until([&] {
        if (!asked) {
            asked = call(serving, {"GET", "/look/own"});
        } else if (asked->over()) {
            serving += asked->answer().whole_success() ? 1 : 0;
            asked.reset();
        }
        return serving == instances.size();
    });
}

} // namespace waxwingvale::platform
