#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "request_keys/key_fault.hpp"
#include "standin/explore.hpp"

#include <waxwingvale/decision/key_store.hpp>

namespace request_keys {

namespace decision = waxwingvale::decision;

// An attempt that a store allowed. The backend server may start it any time
// until it refuses it, also when the entry instance has gone meanwhile.
struct model_attempt {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    std::string key;
    decision::request_fingerprint body;
    std::uint64_t number = 0;
    std::optional<decision::waiter_id> waiter;
    std::uint64_t sent_at = 0; // step
    bool started = false;
    bool reported_unknown = false;
};

// A copy that a store has parked.
struct parked_copy {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    std::string key;
    decision::request_fingerprint body;
};

// How often each decision and each reply came about, by name.
using reached_events = std::map<std::string, std::size_t>;

// Several entry instances with key stores, callers that send copies of
// requests through any of them, backend servers that start, refuse, answer or
// fall silent, and a network that reorders, loses, doubles and delays. Checks
// after every event that no promise is broken.
class key_world {
public:
    explicit key_world(const key_fault& fault,
                       reached_events* reached = nullptr);

    // Runs the whole schedule, then lets everything come to rest.
    std::string run(const standin::schedule& steps);

private:
    using handler = void (key_world::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    void issue_key(const standin::step& of);
    void send_copy(const standin::step& of);
    void deliver(const standin::step& of);
    void deliver_copy(const standin::step& of);
    void lose(const standin::step& of);
    void fail_asking(const standin::step& of);
    void ask_again(const standin::step& of);
    void change_lifetime(const standin::step& of);
    void start_attempt(const standin::step& of);
    void refuse_attempt(const standin::step& of);
    void answer_attempt(const standin::step& of);
    void silence_attempt(const standin::step& of);
    void restart_node(const standin::step& of);
    void pass_time(const standin::step& of);
    void caller_goes(const standin::step& of);

    void come_to_rest();
    void settle(std::size_t node, const std::string& key,
                const decision::key_effects& effects);
    void decide(std::size_t node, const std::string& key,
                decision::request_fingerprint body, decision::waiter_id waiter,
                const decision::key_decision& made);
    void dispatch(std::size_t node, const std::string& key,
                  decision::request_fingerprint body,
                  std::optional<decision::waiter_id> waiter,
                  std::uint64_t number);
    void told_not_run(const std::string& key,
                      decision::request_fingerprint body);
    void hand_in(const decision::key_message& message);
    bool alive(const model_attempt& attempt) const;
    decision::answer_ptr answer_for(const std::string& key) const;
    void count(const std::string& event);
    void violate(const std::string& what);

    const key_fault& fault_;
    reached_events* reached_;
    waxwingvale::time_point now_{};
    std::uint64_t step_ = 0;
    std::vector<key_node> nodes_;
    std::vector<std::string> keys_;
    std::vector<decision::key_message> network_;
    std::vector<model_attempt> attempts_;
    std::map<decision::waiter_id, parked_copy> parked_;
    std::map<std::string, unsigned> runs_;
    std::map<std::string, std::set<decision::request_fingerprint>> ran_with_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> not_run_at_;
    decision::waiter_id last_waiter_ = 0;
    std::string violated_;
};

} // namespace request_keys
