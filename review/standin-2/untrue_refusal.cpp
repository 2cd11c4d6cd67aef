// One backend server runs bookings and then fails a part of them with a 503
// that does not say that it has not run them. Callers get that 503, which
// promises that nothing ran, and book once more.

#include <iostream>
#include <map>
#include <random>
#include <thread>

#include "small_deployment.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale::review;

namespace {

constexpr std::size_t instances = 3;
constexpr int backends_of_the_service = 8;
constexpr int grey_backends = 1;        // 0.125; 0.14 is the most
constexpr int failed_of_a_hundred = 40; // 0.45 is the most
constexpr int callers = 8;
constexpr int bookings_of_a_caller = 150;
constexpr int most_attempts = 3; // of a caller: one and two retries
constexpr auto work = 10ms;
constexpr auto deadline = 2000ms;
constexpr auto trouble_lasts = 6500ms; // as in the site file
constexpr int ok = 200;
constexpr int unavailable = 503;

const std::vector<served_route> routes = {
    {"/confirm/", "non_idempotent", "assign-desk"}};

bool is_chosen(int of_a_hundred) {
    thread_local std::mt19937 random(std::random_device{}());
    return std::uniform_int_distribution<int>(0, 99)(random) < of_a_hundred;
}

// What ran, by attempt and by booking.
class run_counts {
public:
    void add(const std::string& attempt, const std::string& booking) {
        const std::lock_guard<std::mutex> lock(guard_);
        ++by_attempt_[attempt];
        ++by_booking_[booking];
    }
    bool has_run(const std::string& attempt) {
        const std::lock_guard<std::mutex> lock(guard_);
        return by_attempt_.count(attempt) != 0;
    }
    int booked_twice() {
        const std::lock_guard<std::mutex> lock(guard_);
        int twice = 0;
        for (const auto& each : by_booking_) {
            twice += each.second > 1 ? 1 : 0;
        }
        return twice;
    }

private:
    std::mutex guard_;
    std::map<std::string, int> by_attempt_;
    std::map<std::string, int> by_booking_;
};

using steady = std::chrono::steady_clock;

backend::handler answering(bool grey,
                           const std::atomic<steady::time_point>& grey_until,
                           run_counts& ran, record& to) {
    return [grey, &grey_until, &ran, &to](backend& self, http_connection& on,
                                          const http_message& request) {
        const auto attempt = request.header("waxwingvale-attempt-id");
        if (request.first == "POST") {
            ran.add(attempt, request.second);
        }
        to.note("run " + attempt + " " + request.second + " by " + self.id());
        std::this_thread::sleep_for(work);
        const bool fails = grey && steady::now() < grey_until.load() &&
                           is_chosen(failed_of_a_hundred);
        to.note("backend answers " + attempt + (fails ? " 503" : " 200"));
        return on.write(
            self.answer(fails ? unavailable : ok, attempt,
                        fails ? "no connection to the ledger" : "booked"));
    };
}

bool is_promise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

struct counts {
    std::atomic<int> attempts{0};
    std::atomic<int> untrue{0};
};

void book(http_connection& on, const std::string& booking, run_counts& ran,
          counts& counted, record& to) {
    for (int tried = 0; tried < most_attempts; ++tried) {
        const auto attempt = fresh_attempt();
        ++counted.attempts;
        to.note(
            std::string("sent ").append(attempt).append(" ").append(booking));
        on.write(request_text("POST", booking, attempt, deadline, "crew"));
        const auto answer = on.read();
        to.note("answered " + attempt + " " +
                (answer ? answer->second : "nothing"));
        if (!answer || !is_promise(answer->status())) {
            return;
        }
        if (ran.has_run(attempt)) {
            ++counted.untrue;
            to.note("REFUSED " + attempt + " has run");
        }
        std::this_thread::sleep_for(20ms);
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto told = read_arguments(argc, argv);
    record to(told.record_file);
    run_counts ran;
    counts counted;
    std::atomic<steady::time_point> grey_until{steady::time_point()};
    std::vector<std::unique_ptr<backend>> backends;
    for (int i = 0; i < backends_of_the_service; ++i) {
        const bool grey = told.trouble && i < grey_backends;
        backends.push_back(std::make_unique<backend>(
            "desk-" + std::to_string(i), routes[0].service,
            answering(grey, grey_until, ran, to)));
    }
    const small_deployment at(instances, routes, deadline, backends,
                              told.folder);
    if (!at.await_ready(routes)) {
        std::cout << "the instances are not ready\n";
        end_case(2);
    }
    grey_until = steady::now() + trouble_lasts;
    std::vector<std::thread> running;
    running.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        running.emplace_back([&, i] {
            const auto number = static_cast<std::size_t>(i) % at.size();
            for (int k = 0; k < bookings_of_a_caller; ++k) {
                http_connection on(connect_to(at.caller_port(number)));
                book(on,
                     routes[0].prefix + std::to_string(i) + "/" +
                         std::to_string(k),
                     ran, counted, to);
            }
        });
    }
    for (auto& each : running) {
        each.join();
    }
    std::cout << callers * bookings_of_a_caller << " bookings in "
              << counted.attempts << " attempts, " << counted.untrue
              << " refused as not run that ran, " << ran.booked_twice()
              << " bookings ran more than once\n";
    end_case(counted.untrue > 0 ? 1 : 0);
}
