#include "platform/ending_servers.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration patience = 20s;
constexpr const char* zone = "north"; // of all servers

json route(const char* name, const char* host, const char* prefix,
           const char* kind) {
    return {{"Name", name},     {"Host", host},   {"PathPrefix", prefix},
            {"Kind", kind},     {"Timeout", 800}, {"MaxAttempts", 2},
            {"Service", "view"}};
}

std::string operator_text() {
    json routes;
    routes["look"] = route("look", "a.example", "/look/", "idempotent");
    routes["other"] = route("other", "b.example", "/look/", "idempotent");
    routes["book"] = route("book", "a.example", "/book/", "non_idempotent");
    json services;
    services["view"] = {{"Name", "view"}, {"HealthPath", "/healthz"}};
    return json{{"Version", 1}, {"Routes", routes}, {"Services", services}}
        .dump();
}

} // namespace

ending_servers::ending_servers(std::size_t instance_count,
                               std::size_t server_count, const json& budgets,
                               const std::vector<std::string>& zones,
                               const std::string& program)
    : instances(instance_count, zones, store.port(), budgets, program) {
    store.write(operator_text());
    for (std::size_t each = 0; each < server_count; ++each) {
        servers.push_back(std::make_unique<ending_server>(
            loop, timers,
            ending_server::hooks{
                [this](const io::http_request& asked) { return decide(asked); },
                [this](ending_server& ended) { follow_end(ended); }}));
        begin_process(*servers.back());
    }
    instances.start();
    REQUIRE(go_on_until([this] {
        send({"first", "a.example", "/look/first", "GET", {}, {}},
             attempts_ % instances.size());
        go_on(50ms);
        return sent["first"].answers[200] >= 4 * instances.size();
    }));
    go_on(500ms);
}

void ending_servers::ends_by(process_end how) {
    for (auto& each : servers) {
        each->ends_by = how;
    }
}

std::string ending_servers::entry_of(const ending_server& which) const {
    return json{{"Service", "view"},
                {"Address", "127.0.0.1:" + std::to_string(which.port())},
                {"Zone", zone},
                {"Version", "v1"},
                {"MaxConcurrency", 4},
                {"State", "ready"},
                {"ColdRemaining", 0},
                {"Sequence", 1}}
        .dump();
}

void ending_servers::begin_process(ending_server& which) {
    which.start("i-" + std::to_string(++processes_begun_));
    store.put("servers/" + which.id(), entry_of(which));
}

// The platform notices an end by the silence that follows; the next process
// registers itself once it runs.
void ending_servers::follow_end(ending_server& ended) {
    ends.push_back(timers.now());
    const auto former = "servers/" + ended.id();
    later_.push_back(timers.after(
        listed_for, [this, former](time_point) { store.remove(former); }));
    if (!starts_again) {
        return;
    }
    const bool at_once = ended.ends_by == process_end::replaced;
    later_.push_back(
        timers.after(at_once ? 1ms : down_for,
                     [this, &ended](time_point) { begin_process(ended); }));
}

void ending_servers::send(const request& which, std::size_t by_instance) {
    ++attempts_;
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = instances.caller_port(by_instance % instances.size());
    call.method = which.method;
    call.target = which.target;
    call.headers = which.headers;
    call.body = which.body;
    call.headers.push_back({"Host", which.host});
    call.headers.push_back(
        {"Waxwingvale-Attempt-Id", "attempt-" + std::to_string(attempts_)});
    call.headers.push_back({"Waxwingvale-Request-Deadline",
                            std::to_string(700 + attempts_ % 100)});
    call.timeout = 2s;
    ++open_;
    client_.send(std::move(call), [this, name = which.name](
                                      const io::http_call_result& ended) {
        --open_;
        ++sent[name]
              .answers[ended.response ? ended.response.value().status : 0];
    });
}

void ending_servers::repeat(const request& which, duration gap, duration time) {
    std::size_t next = 0;
    send(which, next++);
    const auto sending =
        timers.every(gap, [&](time_point) { send(which, next++); });
    go_on(time);
}

void ending_servers::go_on(duration time) {
    const auto beat = timers.every(5ms, [](time_point) {});
    const auto until = timers.now() + time;
    while (timers.now() < until) {
        loop.run_once(true);
    }
}

bool ending_servers::go_on_until(const std::function<bool()>& holds) {
    const auto until = timers.now() + patience;
    while (!holds()) {
        if (timers.now() > until) {
            return false;
        }
        go_on(10ms);
    }
    return true;
}

} // namespace waxwingvale::platform
