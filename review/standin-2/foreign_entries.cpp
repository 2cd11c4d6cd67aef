// Another program keeps documents of its own where backend servers register.
// The instance that reads the platform's store answers nobody while it goes
// through them, and callers get nothing at their route's timeout.

#include <iostream>
#include <thread>

#include "small_deployment.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale::review;

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t instances = 3;
constexpr int backends_of_the_service = 4;
constexpr int callers_of_an_instance = 6;
constexpr int documents = 100;
constexpr std::size_t document_size = 1'040'000; // of 1,048,576 at most
constexpr auto between_writes = 50ms;
constexpr auto work = 10ms;
constexpr auto timeout = 1000ms; // of a route-plan
constexpr auto grace = 500ms;
constexpr auto calm = 4s; // before the documents are written
constexpr auto watched = 60s;
constexpr int allowed = 7;

const std::vector<served_route> routes = {
    {"/plan/", "idempotent", "planner-svc"}};

// The seats of a train, as an application may keep them.
std::string document() {
    std::string text = "[";
    while (text.size() < document_size) {
        text += "{\"free\":1},";
    }
    text.back() = ']';
    return text;
}

backend::handler answering(record& to) {
    return
        [&to](backend& self, http_connection& on, const http_message& request) {
            const auto attempt = request.header("waxwingvale-attempt-id");
            to.note("run " + attempt + " by " + self.id());
            std::this_thread::sleep_for(work);
            return on.write(self.answer(200, attempt, "a route"));
        };
}

struct counts {
    std::atomic<int> sent{0};
    std::atomic<int> at_timeout{0}; // unanswered at the route's timeout
    std::atomic<int> later{0};      // and half a second later
};

void call(std::uint16_t port, steady::time_point until, counts& counted,
          record& to) {
    auto connection = std::make_unique<http_connection>(connect_to(port));
    while (steady::now() < until) {
        const auto attempt = fresh_attempt();
        const auto began = steady::now();
        ++counted.sent;
        connection->write(
            request_text("GET", routes[0].prefix + "1", attempt, timeout, ""));
        const auto answer = connection->read();
        const auto took = steady::now() - began;
        counted.at_timeout += took > timeout ? 1 : 0;
        counted.later += took > timeout + grace ? 1 : 0;
        to.note("answered " + attempt + " " +
                (answer ? answer->second : "nothing") + " after " +
                std::to_string(took / 1ms) + " ms" +
                (took > timeout + grace ? " LATE" : ""));
        if (!answer || answer->header("connection") == "close") {
            connection = std::make_unique<http_connection>(connect_to(port));
        }
        std::this_thread::sleep_for(20ms);
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto told = read_arguments(argc, argv);
    record to(told.record_file);
    std::vector<std::unique_ptr<backend>> backends;
    backends.reserve(backends_of_the_service);
    for (int i = 0; i < backends_of_the_service; ++i) {
        backends.push_back(std::make_unique<backend>(
            "planner-" + std::to_string(i), routes[0].service, answering(to)));
    }
    small_deployment at(instances, routes, timeout, backends, told.folder);
    if (!at.await_ready(routes)) {
        std::cout << "the instances are not ready\n";
        end_case(2);
    }
    counts counted;
    const auto until = steady::now() + watched;
    std::vector<std::thread> running;
    for (std::size_t number = 0; number < at.size(); ++number) {
        for (int i = 0; i < callers_of_an_instance; ++i) {
            running.emplace_back([&, number] {
                call(at.caller_port(number), until, counted, to);
            });
        }
    }
    std::this_thread::sleep_for(calm);
    for (int i = 0; told.trouble && i < documents; ++i) {
        at.put("servers/prices-" + std::to_string(i), document());
        to.note("another writer's document " + std::to_string(i));
        std::this_thread::sleep_for(between_writes);
    }
    for (auto& each : running) {
        each.join();
    }
    const bool broken =
        counted.later > allowed && 2 * counted.later > counted.at_timeout;
    std::cout << counted.sent << " sent, " << counted.at_timeout
              << " unanswered at the timeout, " << counted.later
              << " of them half a second later\n";
    end_case(broken ? 1 : 0);
}
