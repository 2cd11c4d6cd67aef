#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/decision/service_scheduler.hpp>

namespace waxwingvale::decision {

// Instances of one service whose owner changes hands: they are killed and start
// again, are cut apart and stopped. Every request is repeated
// once. Links take a millisecond; who is gone is known after a while.
class repeat_fleet {
public:
    static constexpr duration window = std::chrono::seconds(10);
    static constexpr double ratio = 0.2;
    static constexpr double extra = 60;

    repeat_fleet(std::size_t instances, unsigned seed);

    // Goes on for that long; each instance gets so many requests a second.
    void go_on(duration time, double requests_per_second);
    void kill(std::size_t instance);
    // Instances of different sides do not hear each other.
    void cut(const std::vector<int>& side_of_each);
    void stop(std::size_t instance, bool stopped);

    std::size_t size() const { return instances_.size(); }
    std::size_t repeats() const { return repeats_.size(); }
    // The most repeats beyond the allowed ones in any window; negative: fewer.
    double most_beyond() const;
    void forget();

private:
    struct message {
        time_point due{};
        std::size_t to = 0;
        scheduler_event event;
    };
    struct instance {
        std::unique_ptr<service_scheduler> scheduler;
        std::uint64_t incarnation = 0;
        time_point began{};
        bool stopped = false;
        int side = 0;
        std::vector<message> unread;
        std::map<request_id, unsigned> attempts;
    };

    std::string name_of(std::size_t each) const;
    void start(std::size_t each);
    bool linked(std::size_t a, std::size_t b) const;
    void tell_view(std::size_t to);
    void tell_links(std::size_t of);
    void send(std::size_t to, const scheduler_event& event);
    void handle(std::size_t each, const scheduler_event& event);
    void send_request(std::size_t by, request_id id, unsigned attempt);
    void step();

    void act(std::size_t by, const start_request& action);
    void act(std::size_t by, const refuse_request& action);
    void act(std::size_t by, const expire_request& action);
    void act(std::size_t by, const ask_slots& action);
    void act(std::size_t by, const answer_ask& action);
    void act(std::size_t by, const give_grant& action);
    void act(std::size_t by, const return_grant& action);
    void act(std::size_t by, const ask_repeats& action);
    void act(std::size_t by, const give_repeats& action);
    void act(std::size_t by, const wake_at& action);
    void to_peer(std::size_t by, const std::string& peer,
                 const scheduler_event& event);

    configuration_ptr config_;
    std::vector<instance> instances_;
    time_point now_{std::chrono::seconds(1000)};
    std::vector<message> in_flight_;
    std::mt19937 random_;
    request_id next_request_ = 1;
    std::vector<time_point> requests_;
    std::vector<time_point> repeats_;
};

} // namespace waxwingvale::decision
