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

// An attempt that a store allowed. The backend server may start it at any time
// until it refuses it, also after the entry instance has restarted.
struct model_attempt {
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    std::string key;
    decision::request_fingerprint body;
    std::uint64_t number = 0;
    std::optional<decision::waiter_id> waiter;
    std::uint64_t sent_at = 0; // number of the step
    bool started = false;
    bool reported_unknown = false;
};

// A copy that is parked at a store.
struct parked_copy {
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    std::string key;
    decision::request_fingerprint body;
};

// How often each decision and each kind of reply occurred, by name.
using event_counts = std::map<std::string, std::size_t>;

// Simulates entry instances with key stores, callers that send copies of
// requests through any of them, backend servers that start, refuse, answer or
// do not answer requests, and a network that reorders, loses, duplicates and
// delays messages. Checks the guarantees of the protocol after every event.
class key_simulation {
public:
    explicit key_simulation(const key_fault& fault,
                            event_counts* counts = nullptr);

    // Runs the complete schedule, then ends all requests and attempts that are
    // still open. Returns the violated guarantee, or nothing.
    std::string run(const standin::schedule& steps);

private:
    using handler = void (key_simulation::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    void issue_key(const standin::step& step);
    void send_copy(const standin::step& step);
    void deliver(const standin::step& step);
    void deliver_duplicate(const standin::step& step);
    void drop_message(const standin::step& step);
    void fail_hand_over(const standin::step& step);
    void repeat_hand_over_request(const standin::step& step);
    void change_lifetime(const standin::step& step);
    void start_attempt(const standin::step& step);
    void refuse_attempt(const standin::step& step);
    void answer_attempt(const standin::step& step);
    void abandon_attempt(const standin::step& step);
    void restart_instance(const standin::step& step);
    void advance_time(const standin::step& step);
    void caller_leaves(const standin::step& step);

    void run_to_quiescence();
    void apply_effects(std::size_t instance, const std::string& key,
                       const decision::key_effects& effects);
    void apply_decision(std::size_t instance, const std::string& key,
                        decision::request_fingerprint body,
                        decision::waiter_id waiter,
                        const decision::key_decision& result);
    void dispatch(std::size_t instance, const std::string& key,
                  decision::request_fingerprint body,
                  std::optional<decision::waiter_id> waiter,
                  std::uint64_t number);
    void record_not_run_report(const std::string& key,
                               decision::request_fingerprint body);
    void deliver_message(const decision::key_message& message);
    // Whether the instance that sent the attempt has not restarted since.
    bool alive(const model_attempt& attempt) const;
    decision::answer_ptr answer_for(const std::string& key) const;
    void count_event(const std::string& event);
    void violate(const std::string& what);

    const key_fault& fault_;
    event_counts* counts_;
    waxwingvale::time_point now_{};
    std::uint64_t step_ = 0;
    std::vector<model_instance> instances_;
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
