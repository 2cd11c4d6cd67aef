// Instances of which some are held to slices of running time, as processes.
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform/late_instances.hpp"
#include "standin/program_frame.hpp"

namespace {

using namespace waxwingvale;
using platform::late_instances;

constexpr const char* usage = R"(standin-late_soak: instances that run late.

Usage: standin-late_soak [--seed=N] [--instances=N] [--servers=N] [--late=WHO]
                         [--rate=N] [--run-ms=N] [--stop-ms=N] [--change-ms=N]
                         [--seconds=S] [--poor-store] [--relays] [--kills]
                         [--busy=N] [--processors=N] [--slow-services]
                         [--steady=S] [--large=N] [--changed-ms=N]
                         [--logs=FOLDER]

Options:
  --seed=N       [default: 1]
  --instances=N  [default: 24]
  --servers=N    [default: 40]
  --late=WHO     Who is held to slices: none, half, all, owners (those that
                 own slots and stand by to), or instances by number, as in 0,3
                 [default: half].
  --rate=N       Requests a second, in turn to all [default: 150].
  --run-ms=N     [default: 100]
  --stop-ms=N    [default: 1000]
  --change-ms=N  Between two configurations [default: 1000].
  --seconds=S    Of each of the two phases [default: 20].
  --steady=S     Of a phase without changes, 10 s after the first of the two
                 [default: 0].
  --poor-store   Of the store's answers a fifth comes late, a fifth never.
  --relays       Connections to the store and the servers are delayed and reset
                 by turns.
  --kills        An instance is killed every 0.3 s.
  --busy=N       Threads that use a processor each [default: 0].
  --processors=N  All instances together may use so many; 0: any [default: 0].
  --large=N      So many instances of each data centre are large, and requests
                 on first routes and bookings go to those that the directory
                 names; 0: all are alike [default: 0].
  --changed-ms=N  Time of a read on an added or moved route; 0: as on the first
                 ones [default: 0].
  --slow-services  Three services of 264 servers that work for 220 to 550 ms,
                 in place of --servers of 30 ms.
  --logs=FOLDER  Keeps what the instances write.

Plays, kills all instances at one moment, and plays on from 15 s after their
return. Prints what callers got. Exit codes: 0 no fault, 1 some fault: a route
that was confirmed 2.5 s before is not known, or one that was moved as long
before is run by its former service; without changes, routes that were added are
served less than a quarter as often as the first ones; or less than a quarter is
served after the return.
)";

// Uses processors for as long as it lives.
class busy_threads {
public:
    explicit busy_threads(std::size_t count) {
        for (std::size_t each = 0; each < count; ++each) {
            threads_.emplace_back([this] {
                while (!ended_) {
                }
            });
        }
    }
    ~busy_threads() {
        ended_ = true;
        for (auto& each : threads_) {
            each.join();
        }
    }

private:
    std::atomic<bool> ended_{false};
    std::vector<std::thread> threads_;
};

late_instances::numbers chosen(const late_instances& of,
                               const std::string& who) {
    if (who == "none") {
        return {};
    }
    if (who == "half" || who == "all") {
        return who == "half" ? of.half() : of.all();
    }
    if (who == "owners") {
        return of.owners_and_standbys();
    }
    late_instances::numbers numbers;
    std::istringstream words(who);
    for (std::string word; std::getline(words, word, ',');) {
        numbers.insert(std::stoul(word));
    }
    return numbers;
}

using results_by_instance = late_instances::results_by_instance;

// Of the users' rules.
constexpr double least_served = 0.25;

void print(const std::string& phase, const results_by_instance& results,
           const late_instances& of, const late_instances::numbers& late) {
    std::cout << phase << ", not in slices: "
              << to_string(late_instances::sum(results, of.others(late)))
              << '\n'
              << phase << ", in slices: "
              << to_string(late_instances::sum(results, late)) << std::endl;
    for (const auto& [number, each] : results) {
        if (each.late_routes() > 0 || each.run_by_former > 0) {
            std::cout << "  instance " << number << ": " << to_string(each)
                      << std::endl;
        }
    }
}

platform::late_instances_options options_of(const standin::arguments& given) {
    using std::chrono::milliseconds;
    platform::late_instances_options options;
    options.seed = standin::number(given, "--seed");
    options.instances = standin::number(given, "--instances");
    options.services =
        given.at("--slow-services").asBool()
            ? platform::slow_services()
            : platform::quick_services(standin::number(given, "--servers"));
    options.processors =
        static_cast<unsigned>(standin::number(given, "--processors"));
    options.requests_per_second =
        static_cast<unsigned>(standin::number(given, "--rate"));
    options.run = milliseconds(standin::number(given, "--run-ms"));
    options.stop = milliseconds(standin::number(given, "--stop-ms"));
    options.change_period = milliseconds(standin::number(given, "--change-ms"));
    options.large = standin::number(given, "--large");
    const milliseconds changed_deadline(standin::number(given, "--changed-ms"));
    if (changed_deadline > milliseconds(0)) {
        options.changed_deadline = changed_deadline;
    }
    options.relays = given.at("--relays").asBool();
    if (given.at("--logs")) {
        options.log_folder = given.at("--logs").asString();
    }
    return options;
}

results_by_instance play(late_instances& instances,
                         const standin::arguments& given) {
    using std::chrono::milliseconds;
    const std::chrono::seconds length(standin::number(given, "--seconds"));
    std::size_t next = 0;
    std::optional<kernel::timer_service::subscription> killing;
    if (given.at("--kills").asBool()) {
        killing = instances.timers.every(milliseconds(300), [&](time_point) {
            instances.kill_one(next++ % instances.all().size());
        });
    }
    bool slow = false;
    std::optional<kernel::timer_service::subscription> disturbing;
    if (given.at("--relays").asBool()) {
        disturbing = instances.timers.every(milliseconds(700), [&](time_point) {
            slow = !slow;
            instances.set_relay(slow ? "pass&delay_ms=150" : "drop");
            instances.set_relay(slow ? "pass&delay_ms=150" : "pass&delay_ms=0");
        });
    }
    return instances.play(length);
}

// From 10 s after the last change on.
results_by_instance play_steady(late_instances& instances,
                                const standin::arguments& given) {
    constexpr auto settles = std::chrono::seconds(10);
    const std::chrono::seconds length(standin::number(given, "--steady"));
    if (length == std::chrono::seconds(0)) {
        return {};
    }
    instances.rest(settles);
    return instances.play_steady(length);
}

} // namespace

int main(int count, char** words) {
    const auto given = standin::read_arguments(usage, count, words);
    const busy_threads beside(standin::number(given, "--busy"));
    late_instances instances(options_of(given));
    const auto late = chosen(instances, given.at("--late").asString());
    if (given.at("--poor-store").asBool()) {
        instances.poor_store(0.2, 0.2);
    }
    instances.hold(late);
    const auto before = play(instances, given);
    print("before", before, instances, late);
    const auto steady = play_steady(instances, given);
    print("without changes", steady, instances, late);
    instances.kill_all();
    instances.rest(late_instances::recovery);
    const auto after = play(instances, given);
    print("after all were killed", after, instances, late);
    bool whole = true;
    for (const auto& results : {before, steady, after}) {
        const auto sum = late_instances::sum(results, instances.all());
        whole = whole && sum.late_routes() == 0 && sum.run_by_former == 0;
    }
    const auto in_all = late_instances::sum(steady, instances.all());
    whole = whole && in_all.added_by_first() >= least_served;
    for (const auto& group : {late, instances.others(late)}) {
        const auto sum = late_instances::sum(after, group);
        whole = whole && sum.served_share() >= least_served;
    }
    return whole ? 0 : 1;
}
