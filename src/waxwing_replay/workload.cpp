#include "waxwing_replay/workload.hpp"

#include <algorithm>
#include <array>
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
constexpr duration burst_width{3000};
constexpr duration burst_time_allowed{2000000};
// Calls of one burst, in seconds of all slots' work.
constexpr double burst_seconds = 3.0;
constexpr double burst_background = 0.3;

// Calls come faster than the slots serve: first somewhat, then far more, then
// less again, each for two seconds.
constexpr double rush_before = 0.62; // of the capacity
constexpr std::array<double, 4> rush_shares{0.95, 1.6, 1.6, 1.05};
constexpr duration rush_step{1500000};

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

std::size_t draw_work(const std::vector<work_profile>& works, double drawn) {
    double sum = 0;
    for (const work_profile& each : works) {
        sum += each.share;
    }
    double left = drawn * sum;
    for (std::size_t i = 0; i + 1 < works.size(); ++i) {
        left -= works[i].share;
        if (left < 0) {
            return i;
        }
    }
    return works.size() - 1;
}

// Calls at random moments with that share of the capacity.
void add_steady(workload& load, double share, duration from, duration until) {
    number_source numbers(combine_hashes(load.seed, load.calls.size() + 1));
    const double rate =
        share * capacity_of(load.size) / microseconds_per_second;
    const bool several = load.size.works.size() > 1;
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
        made.work = several ? draw_work(load.size.works, numbers.next()) : 0;
        made.allowed = load.size.work_of(made).allowed;
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

// All entry instances have just started, know nothing of the service, and more
// comes than the slots can serve. What it is like at once counts: nothing is
// left out as warm-up.
void restart(workload& load) {
    load.warm_up = duration::zero();
    steady(load, 1.15);
}

void rush(workload& load) {
    duration from = load.warm_up;
    add_steady(load, rush_before, duration::zero(), from);
    for (const double share : rush_shares) {
        add_steady(load, share, from, from + rush_step);
        from += rush_step;
    }
    add_steady(load, rush_before, from, load.length);
}

// The same, with a third of the servers far slower.
void rush_slowed(workload& load) {
    rush(load);
    for (unsigned i = 0; i < load.size.backend_servers; i += 3) {
        add_fault(load, fault_kind::straggling, i);
    }
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
        {"restart", restart},
        {"rush", rush},
        {"rush-slowed", rush_slowed},
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
        made.first_arrived_at = made.arrives_at;
    }
}

} // namespace

double mean_service_time_us(const work_profile& work) {
    return static_cast<double>(work.mean.count()) *
           (1.0 + work.slow_share * (work.slow_factor - 1.0));
}

double mean_service_time_us(const std::vector<work_profile>& works) {
    double sum = 0;
    double shares = 0;
    for (const work_profile& each : works) {
        sum += each.share * mean_service_time_us(each);
        shares += each.share;
    }
    return sum / shares;
}

duration service_time_of(const work_profile& work, std::uint64_t seed,
                         std::uint64_t call_id, unsigned attempt) {
    const auto key = combine_hashes(combine_hashes(seed, call_id), attempt);
    const double radius =
        std::sqrt(-2.0 * std::log(unit_interval(combine_hashes(key, 1))));
    const double normal =
        radius * std::cos(2.0 * pi * unit_interval(combine_hashes(key, 2)));
    const double mean = static_cast<double>(work.mean.count());
    const double mu = std::log(mean) - work.sigma * work.sigma / 2.0;
    double time = std::exp(mu + work.sigma * normal);
    if (unit_interval(combine_hashes(key, 3)) < work.slow_share) {
        time *= work.slow_factor;
    }
    return duration(static_cast<std::int64_t>(time));
}

namespace {

const std::vector<std::string> cooperative_centres{"sea", "pdx", "spk", "boi"};
const std::vector<std::string> bramblewood_centres{"brisbane-a", "brisbane-b",
                                                   "goldcoast", "toowoomba"};

service_size steady_size(const std::string& user,
                         const std::vector<std::string>& centres,
                         unsigned servers, unsigned slots) {
    service_size size;
    size.user = user;
    size.data_centres = centres;
    size.backend_servers = servers;
    size.slots = slots;
    return size;
}

service_size small_size() {
    service_size size = steady_size("small", {"sea", "pdx"}, 4, 2);
    size.entry_instances = 4;
    return size;
}

// The pace of the users' machines as measured there: four times slower for a
// part of the time, drawn anew every 300 ms, and 1.7 times slower for what
// begins with four fifths of the slots busy.
service_size shared_size(service_size size, double slowed_share,
                         const work_profile& work) {
    size.user += "-shared";
    size.works = {work};
    size.machines.slowed_share = slowed_share;
    size.machines.slowed_factor = 4.0;
    size.machines.crowded_from = 0.8;
    size.machines.crowded_factor = 1.7;
    return size;
}

service_size cooperative_shared() {
    work_profile work;
    work.mean = duration(81000);
    work.sigma = 0.3;
    work.slow_share = 0;
    work.allowed = duration(1500000);
    work.target = duration(250000);
    service_size size = steady_size("cooperative", cooperative_centres, 15, 6);
    size.entry_instances = 12;
    return shared_size(size, 0.25, work);
}

service_size bramblewood_shared() {
    work_profile work;
    work.mean = duration(60000);
    work.sigma = 0.3;
    work.slow_share = 0;
    work.allowed = duration(800000);
    work.target = duration(200000);
    return shared_size(steady_size("bramblewood", bramblewood_centres, 20, 2),
                       0.35, work);
}

// Reads and bookings on the same servers, with what was measured of both at the
// users' installers: work, targets and deadlines in proportion to `scale`.
std::vector<work_profile> reads_and_bookings(double scale) {
    const auto scaled = [&](int milliseconds) {
        return duration(
            static_cast<duration::rep>(1000. * milliseconds * scale));
    };
    work_profile reads;
    reads.share = 0.76;
    reads.priority = 2;
    reads.late_worth = 0.1;
    reads.returns = 1;
    reads.mean = scaled(90);
    reads.sigma = 0.3;
    reads.slow_share = 0;
    reads.allowed = scaled(800);
    reads.target = scaled(250);
    work_profile bookings = reads;
    bookings.name = "bookings";
    bookings.nature = request_nature::at_most_once;
    bookings.share = 0.24;
    bookings.priority = 1;
    bookings.worth = 2;
    bookings.late_worth = 0.2;
    bookings.mean = scaled(120);
    bookings.allowed = scaled(1000);
    bookings.target = scaled(300);
    return {reads, bookings};
}

service_size mixed_shared(unsigned servers, double scale) {
    service_size size = shared_size(
        steady_size("mixed", {"bern", "olten", "fribourg"}, servers, 3), 0.25,
        work_profile());
    size.works = reads_and_bookings(scale);
    size.entry_instances = 17;
    size.owners = 1;
    return size;
}

service_size mixed_shared_large() {
    service_size size = mixed_shared(268, 2.4);
    size.user = "mixed-shared-large";
    size.entry_instances = 60;
    return size;
}

} // namespace

service_size size_of(const std::string& user) {
    static const std::map<std::string, service_size> sizes = {
        {"cooperative", steady_size("cooperative", cooperative_centres, 15, 6)},
        {"bramblewood", steady_size("bramblewood", bramblewood_centres, 10, 2)},
        {"cooperative-shared", cooperative_shared()},
        {"bramblewood-shared", bramblewood_shared()},
        {"mixed-shared", mixed_shared(30, 1.0)},
        {"mixed-shared-large", mixed_shared_large()},
        {"small", small_size()}};
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
    of.typical_time = size.works.front().mean;
    of.owners = size.owners;
    for (const work_profile& each : size.works) {
        request_class made;
        made.name = each.name;
        made.path_prefix = "/";
        made.nature = each.nature;
        made.priority = each.priority;
        made.deadline = each.allowed;
        made.target_latency = each.target;
        of.classes.push_back(made);
    }
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
    const machine_profile& machines = size.machines;
    double most_at_once = 0; // in work at the usual pace
    for (unsigned busy = 1; busy <= size.slots; ++busy) {
        most_at_once =
            std::max(most_at_once, busy / machines.crowding(busy, size.slots));
    }
    const double slowness =
        1.0 + machines.slowed_share * (machines.slowed_factor - 1.0);
    return size.backend_servers * most_at_once * microseconds_per_second /
           (mean_service_time_us(size.works) * slowness);
}

} // namespace waxwingvale::replay
