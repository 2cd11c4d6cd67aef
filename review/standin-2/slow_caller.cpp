// Callers of downloads read nothing for twelve of the twenty seconds that they
// wait. Their connections are ended meanwhile, and the rest of answers that
// backend servers gave whole is lost.

#include <iostream>
#include <thread>

#include "small_deployment.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale::review;

namespace {

constexpr std::size_t instances = 3;
constexpr int backends_of_the_service = 4;
constexpr int callers = 9;
constexpr std::size_t answer_size = 900'000; // bytes
constexpr auto work = 20ms;
constexpr auto pause = 12s;
constexpr auto deadline = 20s; // of packet-download in the large deployment
constexpr int allowed = 3;     // connections that may be closed so

const std::vector<served_route> routes = {
    {"/packet/", "download", "packet-pull"}};

backend::handler answering(record& to) {
    return [&to](backend& self, http_connection& on,
                 const http_message& request) {
        const auto attempt = request.header("waxwingvale-attempt-id");
        const bool is_long = request.second.find("whole") != std::string::npos;
        to.note("run " + attempt + " by " + self.id());
        std::this_thread::sleep_for(work);
        const bool taken = on.write(self.answer(
            200, attempt, std::string(is_long ? answer_size : 10, 'p')));
        to.note("backend has answered " + attempt +
                (taken ? " whole" : " in part"));
        return taken;
    };
}

// Whether the caller got the whole answer in its time.
bool download(std::uint16_t port, bool pauses, record& to) {
    http_connection on(connect_to(port));
    // So that the next request is on a kept connection.
    on.write(request_text("GET", routes[0].prefix + "first", fresh_attempt(),
                          deadline, ""));
    if (!on.read()) {
        return false;
    }
    const auto attempt = fresh_attempt();
    const auto began = std::chrono::steady_clock::now();
    to.note("sent " + attempt);
    on.write(
        request_text("GET", routes[0].prefix + "whole", attempt, deadline, ""));
    auto answer = on.read_head();
    if (answer && pauses) {
        std::this_thread::sleep_for(pause);
    }
    const bool whole = answer && on.read_body(*answer);
    const bool in_time = std::chrono::steady_clock::now() - began < deadline;
    to.note("answered " + attempt + (whole ? " whole" : " LOST") +
            (in_time ? " in time" : " late"));
    return whole || !in_time;
}

} // namespace

int main(int argc, char** argv) {
    const auto told = read_arguments(argc, argv);
    record to(told.record_file);
    std::vector<std::unique_ptr<backend>> backends;
    backends.reserve(backends_of_the_service);
    for (int i = 0; i < backends_of_the_service; ++i) {
        backends.push_back(std::make_unique<backend>(
            "packet-" + std::to_string(i), routes[0].service, answering(to)));
    }
    const small_deployment at(instances, routes, deadline, backends,
                              told.folder);
    if (!at.await_ready(routes)) {
        std::cout << "the instances are not ready\n";
        end_case(2);
    }
    std::atomic<int> lost{0};
    std::vector<std::thread> running;
    running.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        running.emplace_back([&, i] {
            const auto number = static_cast<std::size_t>(i) % at.size();
            lost += download(at.caller_port(number), told.trouble, to) ? 0 : 1;
        });
    }
    for (auto& each : running) {
        each.join();
    }
    std::cout << callers << " downloads, " << lost
              << " closed without a whole answer\n";
    end_case(lost > allowed ? 1 : 0);
}
