// Some backend servers send, after a complete answer, a second copy of it that
// comes late and in which the line with the id is spoilt. Callers then get the
// answer to another caller's request as their own.

#include <iostream>
#include <random>
#include <thread>

#include "small_deployment.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale::review;

namespace {

constexpr std::size_t instances = 3;
constexpr int backends_of_a_service = 5;
constexpr int faulty_of_a_service = 3; // 0.6, the most in the site file
constexpr int spoilt_of_a_hundred = 3; // the most in the site file
constexpr int callers = 10;
constexpr int requests_of_a_caller = 300;
constexpr auto work = 10ms;
constexpr auto deadline = 2000ms;
constexpr auto before_trouble = 1s;
constexpr auto trouble_lasts = 5s; // as in the site file

const std::vector<served_route> routes = {
    {"/slate/", "idempotent", "slate-view"},
    {"/confirm/", "non_idempotent", "assign-desk"}};

std::string body_for(const std::string& attempt) {
    return "answer to " + attempt;
}

std::string without_id(std::string answer) {
    const auto begin = answer.find("Waxwingvale-Attempt-Id:");
    const auto end = answer.find("\r\n", begin) + 2;
    return answer.erase(begin, end - begin);
}

bool is_chosen(int of_a_hundred) {
    thread_local std::mt19937 random(std::random_device{}());
    return std::uniform_int_distribution<int>(0, 99)(random) < of_a_hundred;
}

using steady = std::chrono::steady_clock;

struct counts {
    // Answers of this time may be spoilt; the default is none.
    std::atomic<steady::time_point> trouble_begins{steady::time_point::max()};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> foreign{0};
    std::atomic<int> extra{0};
};

backend::handler answering(bool faulty, counts& counted, record& to) {
    return [faulty, &counted, &to](backend& self, http_connection& on,
                                   const http_message& request) {
        const auto attempt = request.header("waxwingvale-attempt-id");
        if (!on.late_bytes.empty()) {
            ++counted.extra;
            to.note("extra bytes of " + self.id() + " before " + attempt);
            on.write(on.late_bytes);
            on.late_bytes.clear();
        }
        to.note("run " + attempt + " by " + self.id());
        std::this_thread::sleep_for(work);
        const auto answer = self.answer(200, attempt, body_for(attempt));
        const auto now = steady::now();
        const auto begins = counted.trouble_begins.load();
        const bool in_time = now >= begins && now < begins + trouble_lasts;
        if (faulty && in_time && is_chosen(spoilt_of_a_hundred)) {
            on.late_bytes = without_id(answer);
        }
        return on.write(answer);
    };
}

void call(const small_deployment& at, int number, counts& counted, record& to) {
    const auto port =
        at.caller_port(static_cast<std::size_t>(number) % at.size());
    auto connection = std::make_unique<http_connection>(connect_to(port));
    for (int i = 0; i < requests_of_a_caller; ++i) {
        const bool reads = i % 2 == 0;
        const auto attempt = fresh_attempt();
        ++counted.sent;
        to.note("sent " + attempt);
        connection->write(request_text(reads ? "GET" : "POST",
                                       (reads ? routes[0] : routes[1]).prefix +
                                           std::to_string(number),
                                       attempt, deadline, ""));
        const auto answer = connection->read();
        if (!answer || answer->header("connection") == "close") {
            connection = std::make_unique<http_connection>(connect_to(port));
        }
        to.note("answered " + attempt + " " +
                (answer ? answer->second + " " + answer->body : "nothing"));
        if (!answer || answer->status() != 200) {
            continue;
        }
        const bool own = answer->body == body_for(attempt) &&
                         answer->header("waxwingvale-response-signature") ==
                             signature_of(attempt);
        ++(own ? counted.served : counted.foreign);
        if (!own) {
            to.note("MIXED " + attempt + " got: " + answer->body);
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto told = read_arguments(argc, argv);
    record to(told.record_file);
    counts counted;
    std::vector<std::unique_ptr<backend>> backends;
    for (const auto& route : routes) {
        for (int i = 0; i < backends_of_a_service; ++i) {
            const bool faulty = told.trouble && i < faulty_of_a_service;
            backends.push_back(std::make_unique<backend>(
                route.service + "-" + std::to_string(i), route.service,
                answering(faulty, counted, to)));
        }
    }
    const small_deployment at(instances, routes, deadline, backends,
                              told.folder);
    if (!at.await_ready(routes)) {
        std::cout << "the instances are not ready\n";
        end_case(2);
    }
    counted.trouble_begins = steady::now() + before_trouble;
    std::vector<std::thread> running;
    running.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        running.emplace_back([&, i] { call(at, i, counted, to); });
    }
    for (auto& each : running) {
        each.join();
    }
    std::cout << counted.sent << " sent, " << counted.served
              << " got their own answer, " << counted.foreign
              << " another's as a success; extra answers: " << counted.extra
              << '\n';
    end_case(counted.foreign > 0 ? 1 : 0);
}
