#include "waxwing_replay/workload.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <stdexcept>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

using decision::combine_hashes;
using decision::unit_interval;

constexpr double pi = 3.14159265358979323846;
constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t callers = 5000;
constexpr duration read_time_allowed{1000000};
constexpr duration burst_width{3000};
constexpr duration burst_time_allowed{2000000};
// Calls of one burst, in seconds of all slots' work.
constexpr double burst_seconds = 3.0;
constexpr double burst_background = 0.3;

// A source of numbers that depends on the seed and the draws so far only.
class number_source {
public:
    explicit number_source(std::uint64_t seed) : seed_(seed) {}
    double next() { return unit_interval(combine_hashes(seed_, count_++)); }
    std::uint64_t below(std::uint64_t limit) {
        return combine_hashes(seed_, count_++) % limit;
    }

private:
    std::uint64_t seed_;
    std::uint64_t count_ = 0;
};

// Calls at random moments with that share of the capacity.
void add_steady(workload& load, double share, duration from, duration until) {
    number_source numbers(combine_hashes(load.seed, load.calls.size() + 1));
    const double rate =
        share * capacity_of(load.size) / microseconds_per_second;
    double at = static_cast<double>(from.count());
    while (true) {
        at += -std::log(numbers.next()) / rate;
        if (at >= static_cast<double>(until.count())) {
            return;
        }
        call made;
        made.arrives_at = time_point(duration(static_cast<std::int64_t>(at)));
        made.caller = numbers.below(callers);
        made.tenant = numbers.next() < 0.5 ? "leagues" : "desks";
        made.allowed = read_time_allowed;
        load.calls.push_back(made);
    }
}

void add_burst(workload& load, duration at) {
    number_source numbers(combine_hashes(load.seed, 77));
    const auto count =
        static_cast<std::uint64_t>(burst_seconds * capacity_of(load.size));
    for (std::uint64_t i = 0; i < count; ++i) {
        call made;
        made.arrives_at = time_point(
            at +
            duration(static_cast<std::int64_t>(
                numbers.next() * static_cast<double>(burst_width.count()))));
        made.caller = numbers.below(callers);
        made.tenant = numbers.next() < 0.5 ? "leagues" : "desks";
        made.allowed = burst_time_allowed;
        load.calls.push_back(made);
    }
}

void add_fault(workload& load, fault_kind kind, std::size_t place) {
    // From the end of the warm-up on, so that its onset is measured.
    load.faults.push_back(
        {kind, place, time_point(load.warm_up), time_point(load.length)});
}

void steady(workload& load, double share) {
    add_steady(load, share, duration::zero(), load.length);
}

void hourly_burst(workload& load) {
    steady(load, burst_background);
    add_burst(load, load.warm_up);
}

void surge(workload& load, double share) {
    add_steady(load, 0.5, duration::zero(), load.warm_up);
    add_steady(load, share, load.warm_up, load.length);
}

void with_fault(workload& load, fault_kind kind) {
    steady(load, 0.7);
    add_fault(load, kind, 0);
}

void two_at_once(workload& load) {
    steady(load, 0.7);
    add_fault(load, fault_kind::straggling, 0);
    add_fault(load, fault_kind::failing_fast, 1);
}

struct scenario_entry {
    const char* name;
    std::function<void(workload&)> fill;
};

const std::vector<scenario_entry>& scenarios() {
    static const std::vector<scenario_entry> all = {
        {"steady-50", [](workload& w) { steady(w, 0.5); }},
        {"steady-70", [](workload& w) { steady(w, 0.7); }},
        {"steady-85", [](workload& w) { steady(w, 0.85); }},
        {"hourly-burst", hourly_burst},
        {"surge-1.5x", [](workload& w) { surge(w, 1.5); }},
        {"surge-3x", [](workload& w) { surge(w, 3.0); }},
        {"straggler",
         [](workload& w) { with_fault(w, fault_kind::straggling); }},
        {"draining", [](workload& w) { with_fault(w, fault_kind::draining); }},
        {"failing-fast",
         [](workload& w) { with_fault(w, fault_kind::failing_fast); }},
        {"crowded", [](workload& w) { with_fault(w, fault_kind::crowded); }},
        {"two-at-once", two_at_once},
        {"owner-lost",
         [](workload& w) { with_fault(w, fault_kind::owner_lost); }},
        {"split", [](workload& w) { with_fault(w, fault_kind::split); }},
    };
    return all;
}

void order_and_number(workload& load) {
    std::stable_sort(load.calls.begin(), load.calls.end(),
                     [](const call& a, const call& b) {
                         return a.arrives_at < b.arrives_at;
                     });
    std::uint64_t next = 1;
    for (call& made : load.calls) {
        made.id = next++;
    }
}

} // namespace

double mean_service_time_us() {
    return static_cast<double>(usual_service_time.count()) *
           (1.0 + slow_share * (slow_factor - 1.0));
}

duration service_time_of(std::uint64_t seed, std::uint64_t call_id,
                         unsigned attempt) {
    const auto key = combine_hashes(combine_hashes(seed, call_id), attempt);
    const double radius =
        std::sqrt(-2.0 * std::log(unit_interval(combine_hashes(key, 1))));
    const double normal =
        radius * std::cos(2.0 * pi * unit_interval(combine_hashes(key, 2)));
    const double mean = static_cast<double>(usual_service_time.count());
    const double mu =
        std::log(mean) - service_time_sigma * service_time_sigma / 2.0;
    double time = std::exp(mu + service_time_sigma * normal);
    if (unit_interval(combine_hashes(key, 3)) < slow_share) {
        time *= slow_factor;
    }
    return duration(static_cast<std::int64_t>(time));
}

service_size size_of(const std::string& user) {
    static const std::map<std::string, service_size> sizes = {
        {"cooperative",
         {"cooperative", {"sea", "pdx", "spk", "boi"}, 15, 6, 18, 0}},
        {"bramblewood",
         {"bramblewood",
          {"brisbane-a", "brisbane-b", "goldcoast", "toowoomba"},
          10,
          2,
          18,
          0}},
        {"small", {"small", {"sea", "pdx"}, 4, 2, 4, 0}}};
    return sizes.at(user);
}

std::vector<std::string> scenario_names() {
    std::vector<std::string> names;
    for (const scenario_entry& known : scenarios()) {
        names.emplace_back(known.name);
    }
    return names;
}

workload make_workload(const std::string& scenario, const service_size& size,
                       std::uint64_t seed, duration length) {
    constexpr duration longest_warm_up{2000000};
    const duration warm_up = std::min(longest_warm_up, length);
    workload load;
    load.scenario = scenario;
    load.size = size;
    load.seed = seed;
    load.warm_up = warm_up;
    load.length = warm_up + length;
    for (const scenario_entry& known : scenarios()) {
        if (scenario == known.name) {
            known.fill(load);
            order_and_number(load);
            return load;
        }
    }
    throw std::out_of_range("unknown scenario " + scenario);
}

service service_of(const service_size& size) {
    service of;
    of.name = "replayed";
    of.typical_time = usual_service_time;
    of.owners = size.owners;
    of.classes = {{"reads",
                   {"GET"},
                   "/",
                   request_nature::retriable,
                   read_time_allowed,
                   0},
                  {"writes",
                   {"POST"},
                   "/",
                   request_nature::at_most_once,
                   read_time_allowed,
                   0}};
    for (unsigned i = 0; i < size.backend_servers; ++i) {
        backend_server server;
        server.name = size.user + "-" + std::to_string(i);
        server.data_centre = size.data_centres[i % size.data_centres.size()];
        server.slots = size.slots;
        of.backend_servers.push_back(server);
    }
    return of;
}

double capacity_of(const service_size& size) {
    return size.backend_servers * size.slots * microseconds_per_second /
           mean_service_time_us();
}

} // namespace waxwingvale::replay
