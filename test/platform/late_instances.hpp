#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <waxwingvale/io/http_client.hpp>

#include "platform/caller_results.hpp"
#include "platform/instance_group.hpp"
#include "platform/process_slices.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/working_server.hpp"
#include "standin/process.hpp"

namespace waxwingvale::platform {

// A service of stand-in servers with room for all requests.
struct played_service {
    std::string name;
    std::size_t servers = 0;
    unsigned slots = 4;                          // of each server
    duration work{};                             // of a server at a request
    duration deadline = std::chrono::seconds(2); // of a request for it
    unsigned weight = 1; // its share of the requests that are no bookings
};

// What is played on instances of which some run late.
struct late_instances_options {
    std::uint64_t seed = 1;
    std::size_t instances = 8;
    // Each change adds a route to one of them, by their weights, and moves a
    // route from that one to the next. Bookings are for the first one.
    std::vector<played_service> services;
    std::size_t owners = 1;
    std::size_t store_page = 50; // items in an answer of the store
    unsigned requests_per_second = 80;
    duration change_period = std::chrono::seconds(1);
    duration run = std::chrono::milliseconds(100);
    duration stop = std::chrono::milliseconds(1000);
    // So many instances of each data centre say that they are large, all others
    // that they are small; requests on first routes and bookings then go to
    // the instances that the directory names. 0: all are alike.
    std::size_t large = 0;
    // Time of a read on an added or moved route; none: as on the first ones.
    std::optional<duration> changed_deadline;
    // Connections to the store and the servers go by a relay, which delays or
    // resets them when it is told to.
    bool relays = false;
    // All instances together may use so many processors; 0: any.
    unsigned processors = 0;
    std::string log_folder; // empty: what instances write is not kept
};

// Two services of quick servers, a quarter of them of the second one.
std::vector<played_service> quick_services(std::size_t servers);
// Three services of 264 servers with two slots each, whose work takes a fifth
// of the time that callers have.
std::vector<played_service> slow_services();

// Instances as processes of their own, on a stand-in store whose configuration
// changes all the while and on stand-in servers with room for all requests.
// Some are held to slices of running time. Requests go to all in turn, of kinds
// that are drawn: reads on routes of the first configuration, on routes that
// were added or moved so long before that all should know it, and bookings.
class late_instances {
public:
    // The time within which a confirmed configuration is to be in force.
    static constexpr duration in_force_within = std::chrono::milliseconds(2500);
    // The time after a return of all by which they are to serve.
    static constexpr duration recovery = std::chrono::seconds(15);

    explicit late_instances(const late_instances_options& options);
    ~late_instances();

    using numbers = std::set<std::size_t>; // of instances
    numbers all() const;
    // Every second instance.
    numbers half() const;
    // Those that own the slots at first, and those that stand by to.
    numbers owners_and_standbys() const;
    void hold(const numbers& which);
    void release() { slices_.release_all(); }
    // Kills all at one moment and starts all anew; those in slices stay so.
    void kill_all();
    void kill_one(std::size_t number);
    // Shares of the answers of the store that are late, and lost.
    void poor_store(double late, double lost);
    // Of the relay before the store and the servers; only with relays.
    void set_relay(const std::string& mode) const;

    // Goes on for that long without requests and changes.
    void rest(duration time);
    using results_by_instance = std::map<std::size_t, caller_results>;
    // Sends and changes the configuration for that long, then waits for the
    // last answers.
    results_by_instance play(duration time);
    // The same, without changes.
    results_by_instance play_steady(duration time);
    static caller_results sum(const results_by_instance& of,
                              const numbers& which);
    numbers others(const numbers& than) const;

    std::uint64_t changes() const { return changes_; }

    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};
    stand_in_store store{loop, timers};

private:
    // Until instances that have started have found each other.
    static constexpr duration settle_time = std::chrono::seconds(2);

    void start();
    void start_all();
    void list_servers();
    void limit_processors(std::size_t number);
    // The port by which instances reach what listens at that one.
    std::uint16_t relayed(std::size_t route, std::uint16_t direct) const;
    void write_next();
    std::string operator_text() const;
    // The service that a route is added to, or moved from, by a change.
    std::size_t service_of(std::uint64_t change) const;
    std::size_t next_service(std::size_t service) const;
    // The changes that are to be in force everywhere and whose routes are
    // still there.
    std::vector<std::uint64_t> due_changes() const;
    // Of those of any service, by their weights, the newest or any; nothing
    // before the first.
    std::optional<std::uint64_t> any_due_change();
    std::size_t any_service();
    void send_next(results_by_instance& to);
    void send_booking(std::size_t to, caller_results& results);
    void send_first(std::size_t to, caller_results& results);
    void send_added(std::size_t to, caller_results& results,
                    std::uint64_t change);
    void send_moved(std::size_t to, caller_results& results,
                    std::uint64_t change);
    using known_handler = std::function<void(bool known)>;
    // Returns the number of the request. Counts its answer, and then tells
    // whether the route was known.
    std::uint64_t send(std::size_t to, const io::http_call& what,
                       duration deadline, answer_counts& counts,
                       const known_handler& ended = {});
    void set_sizes();
    void ask_directory();
    // Takes over the instances that the directory's answer names.
    void follow_directory(const io::http_call_result& answer);
    // The instance for a request on a first route, and its results.
    std::size_t named_or(std::size_t number);
    void note_run(std::size_t service, const std::string& attempt);
    results_by_instance play(duration time, bool changing);
    void keep_log(std::size_t number);

    late_instances_options options_;
    std::mt19937_64 random_;
    struct listed_server {
        std::size_t service = 0;
        std::unique_ptr<working_server> server;
    };
    // A request on a moved route, and the service that must not run it.
    struct moved_request {
        std::size_t former = 0;
        caller_results* results = nullptr;
    };

    std::vector<listed_server> servers_;
    std::map<std::string, moved_request> moved_; // by attempt, while played
    std::unique_ptr<standin::child_process> relay_;
    nlohmann::json relay_ready_;
    std::unique_ptr<instance_group> instances_;
    process_slices slices_;
    std::map<std::uint64_t, time_point> confirmed_; // by the change's number
    std::uint64_t changes_ = 0;
    std::uint64_t next_ = 0;         // in turn to all instances
    std::vector<std::size_t> named_; // by the directory
    std::uint64_t sent_ = 0;
    std::size_t open_ = 0;
    io::http_client client_{loop, {}};
};

} // namespace waxwingvale::platform
