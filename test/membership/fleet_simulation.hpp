#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/membership/peer_exchange.hpp>

#include "simulated_platform.hpp"

namespace waxwingvale {

// The size of a fleet and the capacity of its machines.
struct fleet_shape {
    unsigned instances = 30;
    unsigned data_centres = 6;
    // Number of instances with half a core; the others have a tenth of a core.
    unsigned strong_per_data_centre = 3;
    unsigned backend_servers = 60;
    std::uint64_t seed = 1;
    // Whether the three seeds read the platform as soon as they start, as an
    // instance without peers does. Otherwise they wait for updates from peers
    // like all other instances.
    bool seeds_read_first = false;
    // After this time without a change the platform answers a watch.
    duration watch = std::chrono::milliseconds(700);
    // Minimum size of a packed configuration.
    std::size_t configuration_bytes = 0;
};

// The observable state of one instance.
struct instance_standing {
    bool running = false;
    bool frozen = false;
    std::uint64_t life = 0;     // incarnation
    std::uint64_t revision = 0; // of the configuration in force
    std::uint64_t named = 0;    // newest revision that a peer reported in force
    bool introduced = false;
    bool reads = false;
};

// The traffic between the instances, as on their sockets.
struct fleet_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytes_between_data_centres = 0;
    std::uint64_t most_bytes_of_one = 0; // sent by one instance
    std::map<std::string, std::uint64_t> bytes_by_kind;
};

// A deterministic simulation of up to hundreds of instances that exchange
// updates over links with latency and limited bandwidth, each with the
// processor capacity of its machine, and of a platform that lists backend
// servers. The seed determines everything that happens.
class fleet_simulation {
public:
    explicit fleet_simulation(const fleet_shape& shape);
    ~fleet_simulation();

    // Starts all instances. The processes of strong machines are up after 0.4 s
    // to 1 s, those of weak machines after 1.5 s to 2.1 s.
    void start_all();
    void run_for(duration time);
    // Advances the time until `holds` returns true, at most by `limit`. Returns
    // the time that passed.
    duration run_until(const std::function<bool()>& holds, duration limit);

    void kill(unsigned number);
    void start(unsigned number, duration after);
    // Closes the links between `separated` and all other instances, and
    // prevents new ones until heal() is called.
    void partition(const std::set<unsigned>& separated);
    void heal();
    // Suspends the process for `time`.
    void freeze(unsigned number, duration time);
    // Closes one of the two links that the instance has with each of its peers.
    // Messages in flight on that link are lost.
    void replace_links(unsigned number);
    // Drops all messages on the instance's links for `time`, then closes the
    // links.
    void drop_messages(unsigned number, duration time);
    simulated_platform& platform() { return platform_; }
    const simulated_platform& platform() const { return platform_; }
    // The platform answers only the instances for which `whom` returns true.
    void let_platform_answer(std::function<bool(unsigned)> whom);

    void register_server(const std::string& name);
    void remove_server(const std::string& name);
    // Publishes a configuration that replaces the previous one.
    void publish_configuration();

    // The number of running instances.
    unsigned running_count() const;
    // The number of running instances that know exactly the backend servers of
    // the platform.
    unsigned count_with_complete_registry() const;
    // The number of running instances that consider exactly the running
    // instances alive.
    unsigned count_with_complete_membership() const;
    // The oldest configuration in force at a running instance; 0 if one of them
    // has none.
    std::uint64_t oldest_configuration() const;
    // The newest published configuration. Versions count up from 1.
    std::uint64_t published_configuration() const {
        return platform_.version();
    }
    unsigned instances() const { return shape_.instances; }
    instance_standing standing(unsigned number) const;
    // The active (running and not frozen) instances, itself included, to which
    // the instance is connected by a path of active instances.
    std::set<unsigned> reached_by(unsigned number) const;
    duration random_within(duration limit);
    unsigned random_below(unsigned limit);
    time_point now() const { return now_; }
    // The number of running instances that know the backend server.
    unsigned count_knowing(const std::string& server) const;

    const fleet_traffic& traffic() const { return traffic_; }
    void reset_traffic();

private:
    struct instance;
    struct message {
        unsigned from;
        unsigned to;
        std::uint64_t sender_incarnation;
        std::uint64_t receiver_incarnation;
        std::uint64_t link_generation; // of the link on which it was sent
        std::shared_ptr<const membership::exchange_message> body;
        std::size_t bytes;
    };
    struct event {
        time_point due{};
        std::uint64_t sequence = 0; // orders events that are due together
        std::function<void()> run;

        bool operator<(const event& other) const {
            return std::make_pair(due, sequence) >
                   std::make_pair(other.due, other.sequence);
        }
    };

    void schedule_at(time_point due, std::function<void()> run);
    std::string name_of(unsigned number) const;
    unsigned data_centre_of(unsigned number) const;
    void start_process(unsigned number);
    void tick(unsigned number);
    // Runs a function on an instance if that runs with the given incarnation.
    // While the instance is frozen the function is deferred.
    void run_on(unsigned number, std::uint64_t incarnation,
                const std::function<void()>& run);
    void schedule_after(unsigned number, duration wait,
                        std::function<void()> run);
    void check_for_suspension(unsigned number);
    void unfreeze(unsigned number);
    void apply_answer(unsigned number, const platform_answer& answer);
    void update_reading(unsigned number);
    std::string text_of(std::uint64_t version) const;
    bool is_active(unsigned number) const;
    static std::pair<unsigned, unsigned> link_key(unsigned a, unsigned b);
    void drop_in_flight(unsigned a, unsigned b);
    void plan_links(unsigned number);
    std::set<std::string> wanted_links(const instance& of) const;
    std::set<std::string> central_for(const instance& of) const;
    bool can_link(unsigned a, unsigned b) const;
    std::set<unsigned> linked_with(unsigned number) const;
    void open_link(unsigned a, unsigned b);
    void close_link(unsigned a, unsigned b);
    void connect_to_seeds(unsigned number);
    void close_seed_link(unsigned number, unsigned seed);
    bool is_wanted(unsigned a, unsigned b) const;
    void close_unwanted_links(unsigned number);
    void schedule_flush(unsigned number);
    void flush(unsigned number);
    void send(unsigned from, unsigned to,
              std::shared_ptr<const membership::exchange_message> body,
              std::size_t bytes);
    static duration processing_time(const instance& of, std::size_t bytes);
    static duration transmission_time(const instance& of, std::size_t bytes);
    void receive(const message& sent);
    void deliver(const message& sent);

    struct link_state {
        std::uint64_t generation = 0; // incremented when messages are lost
        time_point drops_until{};
    };

    fleet_shape shape_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::map<std::string, unsigned> numbers_;
    std::map<std::string, membership::registry_record> servers_;
    std::set<unsigned> separated_;
    std::map<std::pair<unsigned, unsigned>, link_state> links_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::uint64_t process_count_ = 0;
    time_point now_{std::chrono::hours(1)};
    simulated_platform platform_;
    fleet_traffic traffic_;
    std::vector<std::uint64_t> bytes_sent_by_;
};

} // namespace waxwingvale
