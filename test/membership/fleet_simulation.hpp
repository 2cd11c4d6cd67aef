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

// How large a fleet is, and what its machines can do.
struct fleet_shape {
    unsigned instances = 30;
    unsigned data_centres = 6;
    unsigned strong_per_data_centre = 3; // the others have a tenth of a core
    unsigned backend_servers = 60;
    std::uint64_t seed = 1;
    // Whether the first three read the platform as they start, as those do that
    // no peer can tell; else they wait to be told like all others.
    bool seeds_read_first = false;
    // How long the platform holds a watch while nothing changes.
    duration watch = std::chrono::milliseconds(700);
    // A packed configuration has so many bytes; 0: a few.
    std::size_t configuration_bytes = 0;
};

// What an observer sees of one instance.
struct instance_standing {
    bool running = false;
    bool frozen = false;
    std::uint64_t life = 0;
    std::uint64_t revision = 0; // in force
    std::uint64_t named = 0;    // the newest that a peer had in force
    bool introduced = false;
    bool reads = false;
};

// What was sent between the instances, on the sockets.
struct fleet_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytes_between_data_centres = 0;
    std::uint64_t most_bytes_of_one = 0; // sent by one instance
    std::map<std::string, std::uint64_t> bytes_by_kind;
};

// Hundreds of instances that exchange what they know over links with delays
// and bandwidths, each with the processor time of its machine, and a platform
// that lists backend servers. Nothing but the seed decides what happens.
class fleet_simulation {
public:
    explicit fleet_simulation(const fleet_shape& shape);
    ~fleet_simulation();

    // All machines start within 0.3 s; weak ones take longer to be there.
    void start_all();
    void run_for(duration time);
    // Passes time until that holds, at most for that long. Returns how long it
    // took, or the limit.
    duration run_until(const std::function<bool()>& holds, duration limit);

    void kill(unsigned number);
    void start(unsigned number, duration after);
    // Links between the two groups break, and none opens, until heal().
    void cut(const std::set<unsigned>& apart);
    void heal();
    // The process does nothing for a while, then wakes.
    void freeze(unsigned number, duration time);
    // Of the two links that the instance had with each of its peers one closes,
    // and what is on its way over it is lost.
    void replace_links(unsigned number);
    // What is said over the instance's links is lost for so long, then they
    // break.
    void swallow(unsigned number, duration time);
    simulated_platform& platform() { return platform_; }
    const simulated_platform& platform() const { return platform_; }
    // The platform answers these, and nobody else.
    void let_platform_answer(std::function<bool(unsigned)> whom);

    void register_server(const std::string& name);
    void remove_server(const std::string& name);
    // The operator publishes a configuration that replaces the one before.
    void publish_configuration();

    unsigned running() const;
    // Running instances that hold exactly the platform's backend servers.
    unsigned with_whole_registry() const;
    // Running instances to whom exactly the running ones are alive.
    unsigned with_all_members() const;
    // Of the running instances, the oldest revision in force; 0: none is.
    std::uint64_t oldest_configuration() const;
    // What was published last; it grows by one with each.
    std::uint64_t published_configuration() const {
        return platform_.version();
    }
    unsigned instances() const { return shape_.instances; }
    instance_standing standing(unsigned number) const;
    // Running and unfrozen instances that are linked with it by such ones, over
    // any path, itself included.
    std::set<unsigned> reached_by(unsigned number) const;
    duration random_within(duration limit);
    unsigned random_below(unsigned limit);
    time_point now() const { return now_; }
    // Running instances that have a backend server.
    unsigned that_know(const std::string& server) const;

    const fleet_traffic& traffic() const { return traffic_; }
    void forget_traffic();

private:
    struct instance;
    struct message {
        unsigned from;
        unsigned to;
        std::uint64_t sending_life;
        std::uint64_t receiving_life;
        std::uint64_t link; // which of the links that the two ever had
        std::shared_ptr<const membership::exchange_message> body;
        std::size_t bytes;
    };
    struct event {
        time_point at{};
        std::uint64_t number = 0; // orders events of one moment
        std::function<void()> run;

        bool operator<(const event& other) const {
            return std::make_pair(at, number) >
                   std::make_pair(other.at, other.number);
        }
    };

    void at(time_point when, std::function<void()> run);
    std::string name_of(unsigned number) const;
    unsigned centre_of(unsigned number) const;
    void begin(unsigned number);
    void tick(unsigned number);
    // What an instance does, in that life, and not while it is frozen.
    void run_on(unsigned number, std::uint64_t life,
                const std::function<void()>& run);
    void after(unsigned number, duration wait, std::function<void()> run);
    void beat(unsigned number);
    void wake(unsigned number);
    void take_reading(unsigned number, const platform_answer& answer);
    void follow_reader_duty(unsigned number);
    std::string text_of(std::uint64_t version) const;
    bool may_act(unsigned number) const;
    static std::pair<unsigned, unsigned> ends_of(unsigned a, unsigned b);
    void lose_what_is_under_way(unsigned a, unsigned b);
    void plan(unsigned number);
    std::set<std::string> wanted_links(const instance& of) const;
    std::set<std::string> central_for(const instance& of) const;
    bool may_link(unsigned a, unsigned b) const;
    std::set<unsigned> linked_with(unsigned number) const;
    void open_link(unsigned a, unsigned b);
    void close_link(unsigned a, unsigned b);
    void dial_seeds(unsigned number);
    void leave_seed(unsigned number, unsigned seed);
    bool is_wanted(unsigned a, unsigned b) const;
    void drop_unwanted(unsigned number);
    void flush_soon(unsigned number);
    void flush(unsigned number);
    void send(unsigned from, unsigned to,
              std::shared_ptr<const membership::exchange_message> body,
              std::size_t bytes);
    static duration processing_time(const instance& of, std::size_t bytes);
    static duration link_time(const instance& of, std::size_t bytes);
    void arrive(const message& sent);
    void deliver(const message& sent);

    struct link_history {
        std::uint64_t number = 0;
        time_point swallows_until{};
    };

    fleet_shape shape_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::map<std::string, unsigned> numbers_;
    std::map<std::string, membership::registry_record> servers_;
    std::set<unsigned> apart_;
    std::map<std::pair<unsigned, unsigned>, link_history> links_;
    std::priority_queue<event> events_;
    std::uint64_t scheduled_ = 0;
    std::uint64_t lives_ = 0;
    time_point now_{std::chrono::hours(1)};
    simulated_platform platform_;
    fleet_traffic traffic_;
    std::vector<std::uint64_t> sent_by_;
};

} // namespace waxwingvale
