#include "platform/partitioned_instances.hpp"

#include <algorithm>

#include "platform/connection_sender.hpp"

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t instance_count = 5;
constexpr std::size_t server_count = 8;
constexpr duration send_period = 10ms;
// Of the requests to an instance, each so many is a booking.
constexpr std::size_t requests_per_booking = 5;

std::string counted_as(const std::string& kind, const std::string& phase,
                       std::size_t by) {
    return kind + " " + phase + " " + std::to_string(by);
}

} // namespace

partitioned_instances::partitioned_instances(
    const std::vector<std::string>& zones, const std::string& program)
    : world(instance_count, server_count, {}, zones, program) {
    for (auto& server : world.servers) {
        server->who_connects = [this, at = server.get()](std::uint16_t port) {
            std::vector<pid_t> processes;
            for (std::size_t each = 0; each < instance_count; ++each) {
                processes.push_back(world.instances.process(each).id());
            }
            return sender_of_connection(port, at->port(), processes);
        };
        server->on_arrival = [this](const io::http_request& request) {
            if (request.method == "POST") {
                const auto* id =
                    io::find_header(request.headers, "Waxwingvale-Attempt-Id");
                ++bookings_[*id];
            }
        };
        // Whoever opened those is not known.
        server->reset_connections();
    }
    play("warm up", 1s);
}

void partitioned_instances::cut(const numbers& which, sender_cut how) {
    for (const auto each : which) {
        for (auto& server : world.servers) {
            server->cut(each, how);
        }
    }
}

void partitioned_instances::cut_at_connect(const numbers& which,
                                           int error_number) {
    std::vector<std::uint16_t> ports;
    for (const auto& server : world.servers) {
        ports.push_back(server->port());
    }
    for (const auto each : which) {
        world.instances.fail_connects(each, error_number, ports);
    }
    cut(which, sender_cut::reset);
}

void partitioned_instances::heal(const numbers& which) {
    for (const auto each : which) {
        world.instances.fail_connects(each, 0, {});
        for (auto& server : world.servers) {
            server->heal(each);
        }
    }
}

void partitioned_instances::send_each(const std::string& phase) {
    const auto by = sent_ % instance_count;
    const bool books = sent_ / instance_count % requests_per_booking == 0;
    ++sent_;
    const auto number = std::to_string(sent_ % 97);
    ending_servers::request made;
    made.name = counted_as(books ? "book" : "look", phase, by);
    made.target = (books ? "/book/" : "/look/") + number;
    made.method = books ? "POST" : "GET";
    made.body = books ? "booking " + number : "";
    world.send(made, by);
}

void partitioned_instances::play(const std::string& phase, duration time) {
    {
        const auto sending = world.timers.every(
            send_period, [this, phase](time_point) { send_each(phase); });
        world.go_on(time);
    }
    // The last answers, within the time that callers wait.
    world.go_on(850ms);
}

double partitioned_instances::share(const std::string& kind,
                                    const std::string& phase,
                                    const numbers& of) const {
    double served = 0;
    double all = 0;
    for (const auto by : of) {
        const auto found = world.sent.find(counted_as(kind, phase, by));
        if (found == world.sent.end()) {
            continue;
        }
        for (const auto& answers : found->second.answers) {
            all += answers.second;
            served += answers.first == 200 ? answers.second : 0;
        }
    }
    return all == 0 ? 0 : served / all;
}

double partitioned_instances::served(const std::string& phase,
                                     const numbers& by) const {
    return share("look", phase, by);
}

double partitioned_instances::served_bookings(const std::string& phase,
                                              const numbers& by) const {
    return share("book", phase, by);
}

unsigned partitioned_instances::refused_for_good() const {
    unsigned sum = 0;
    for (const auto& each : world.sent) {
        sum += each.second.refused_for_good();
    }
    return sum;
}

unsigned partitioned_instances::booked_twice() const {
    return static_cast<unsigned>(
        std::count_if(bookings_.begin(), bookings_.end(),
                      [](const auto& each) { return each.second > 1; }));
}

partitioned_instances::numbers
partitioned_instances::others(const numbers& than) const {
    numbers left;
    for (std::size_t each = 0; each < instance_count; ++each) {
        if (than.count(each) == 0) {
            left.insert(each);
        }
    }
    return left;
}

} // namespace waxwingvale::platform
