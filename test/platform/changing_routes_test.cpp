#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "platform/stand_in_store.hpp"
#include "standin/process.hpp"
#include "standin/published_files.hpp"
#include "standin/temporary_folder.hpp"
#include "standin/unknown_route.hpp"
#include <waxwingvale/io/http_client.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

constexpr duration in_force_within = 2s;
constexpr duration calm_after = 3s;
constexpr const char* host_name = "a.example";

// Routes of one host, as the operator writes them. No service has a backend
// server: what is allowed is answered 503, and what is not, 404.
std::string operator_text(const published_files::file& of) {
    json routes = json::object();
    json services = json::object();
    for (const auto& name : of.services) {
        routes["to-" + name] = {{"Name", "to-" + name},
                                {"Host", host_name},
                                {"PathPrefix", "/" + name + "/"},
                                {"Kind", "idempotent"},
                                {"Timeout", 800},
                                {"Service", name}};
        services[name] = {{"Name", name}, {"HealthPath", "/healthz"}};
    }
    return json{{"Version", of.revision},
                {"Routes", routes},
                {"Services", services},
                {"Limits", {{"MaxHeaderBytes", 16384}}}}
        .dump();
}

// Instances on a stand-in store whose configuration changes ten times a
// second, asked for routes all the while.
struct changing_routes {
    struct one_instance {
        std::uint16_t control_port = free_port();
        std::uint16_t caller_port = free_port();
        time_point calm_since{};
        std::unique_ptr<child_process> process;
    };

    explicit changing_routes(std::size_t count) : instances(count) {
        publish();
        for (std::size_t each = 0; each < count; ++each) {
            start(each);
        }
    }

    std::string settings_of(std::size_t number) const {
        const json settings = {
            {"settings_version", 2},
            {"instance",
             {{"name", "sea-" + std::to_string(number)},
              {"data_centre", "sea"},
              {"host", "127.0.0.1"}}},
            {"platform",
             {{"host", "127.0.0.1"},
              {"port", store.port()},
              {"readers", 1},
              {"watch_ms", 600},
              {"answer_within_ms", 400}}},
            {"peers",
             {{"shared_key", "a key for tests only, 32 bytes.."},
              {"seeds",
               {{{"host", "127.0.0.1"},
                 {"control_port", instances[0].control_port}},
                {{"host", "127.0.0.1"},
                 {"control_port", instances[1].control_port}}}}}},
            {"entry", {{"caller_port", instances[number].caller_port}}},
            {"steer", {{"steer_port", 0}}},
            {"control",
             {{"control_port", instances[number].control_port},
              {"administration", false}}},
            {"deployment",
             {{"data_centres", {{{"name", "sea"}, {"region", "west"}}}}}}};
        return settings.dump();
    }

    void start(std::size_t number) {
        auto& one = instances[number];
        const auto file =
            folder.write(std::to_string(number) + ".json", settings_of(number));
        one.process = std::make_unique<child_process>(
            "waxwing-platform-node",
            std::vector<std::string>{"--settings=" + file});
        one.process->read_ready();
        one.calm_since = timers.now();
    }

    void publish() {
        const auto& file = files.next(timers.now());
        store.write(operator_text(file));
        files.taken(file.revision, timers.now());
    }

    void ask(std::size_t number) {
        const auto service = files.any_service();
        const auto sent = timers.now();
        io::http_call call;
        call.host = "127.0.0.1";
        call.port = instances[number].caller_port;
        call.target = "/" + service + "/x?y=/";
        call.headers = {{"Host", "A.example:81"}};
        call.timeout = 2s;
        client.send(std::move(call), [=](const io::http_call_result& ended) {
            if (ended.response) {
                judge(number, service, sent,
                      judged_status(ended.response.value()));
            }
        });
    }

    static unsigned judged_status(const io::http_response& answer) {
        return knows_no_route(answer) ? 404 : answer.status;
    }

    void judge(std::size_t number, const std::string& service, time_point sent,
               unsigned status) {
        ++answers[status];
        const bool calm = sent - instances[number].calm_since >= calm_after;
        const bool allowed =
            published_files::stays(service) ||
            (calm && files.allowed_by_all(service, sent - in_force_within,
                                          timers.now()));
        if (status >= 300 && status < 500 && (status != 404 || allowed)) {
            faults.push_back("sea-" + std::to_string(number) + ", " + service +
                             ": " + std::to_string(status));
        }
    }

    void go_on(duration time) {
        const auto changing =
            timers.every(100ms, [this](time_point) { publish(); });
        const auto asking = timers.every(20ms, [this](time_point) {
            for (std::size_t each = 0; each < instances.size(); ++each) {
                ask(each);
            }
        });
        const auto until = timers.now() + time;
        while (timers.now() < until) {
            loop.run_once(true);
        }
    }

    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};
    temporary_folder folder;
    stand_in_store store{loop, timers};
    published_files files{4};
    std::map<unsigned, unsigned> answers;
    std::vector<std::string> faults;
    io::http_client client{loop, {}};
    std::vector<one_instance> instances;
};

} // namespace

TEST_CASE("routes that change ten times a second turn no proper request away") {
    // Guards against 404 for what is allowed, while instances start, one is
    // killed, and the store is silent for a while.
    changing_routes running(4);
    running.go_on(500ms);
    running.instances[0].process->kill();
    running.go_on(300ms);
    running.start(0);
    running.go_on(2500ms);
    running.store.set_silent(true);
    running.go_on(500ms);
    running.store.set_silent(false);
    for (auto& each : running.instances) {
        each.calm_since = running.timers.now();
    }
    running.go_on(calm_after + 400ms);
    for (const auto& each : running.faults) {
        UNSCOPED_INFO(each);
    }
    INFO("404: " << running.answers[404] << ", 503: " << running.answers[503]);
    CHECK(running.faults.empty());
    CHECK(running.answers[404] > 100);
    CHECK(running.answers[503] > 500);
}
