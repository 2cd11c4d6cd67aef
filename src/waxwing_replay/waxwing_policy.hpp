#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "waxwing_replay/routing_policy.hpp"
#include <waxwingvale/decision/hedge_policy.hpp>
#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/decision/service_scheduler.hpp>
#include <waxwingvale/decision/steering.hpp>

namespace waxwingvale::replay {

// Replayed instances have run for so long that they hold their part of all
// sums.
constexpr time_point started_long_ago{-std::chrono::hours(1)};

// The name and life of the entry instance with that number.
member_id member_id_of(std::size_t instance);

// Sees every event that an instance's scheduler is given, and the actions
// that it returned.
using event_listener = std::function<void(
    std::size_t instance, const decision::scheduler_event& event, time_point at,
    const std::vector<decision::scheduler_action>& actions)>;

// The decision library itself: a scheduler on each entry instance, callers
// steered to owners, and messages between instances that take a while.
class waxwing_policy : public routing_policy {
public:
    waxwing_policy(const decision::scheduling_policy& knobs, bool hedging,
                   event_listener listener = {});

    void begin(replay_world& world) override;
    void arrive(const call& arrived) override;
    double probe_rate() const override;

private:
    struct pending_call {
        call of;
        unsigned attempt = 1;
        std::vector<std::string> excluded;
        std::size_t instance = 0;
        std::uint64_t attempt_id = 0; // 0: not started
        std::string server;
        time_point sent{};
        duration slow_after{};
        std::uint64_t partner = 0; // the hedge, or the request hedged
        bool is_hedge = false;
    };

    struct entry_instance {
        std::unique_ptr<decision::service_scheduler> scheduler;
        decision::hedge_policy hedges{decision::hedge_limits{}};
        bool lost = false;
    };

    // What one side of a partition believes of the members; without one all
    // instances are on side 0.
    struct side_view {
        std::vector<member> members;
        decision::ownership owners;
    };

    void probe_unheard();
    void send_probe(std::size_t instance, const std::string& server);
    void make_members();
    void link_all();
    void plan_faults();
    void split_in_two();
    void move_ownership_apart();
    std::size_t side_of(std::size_t instance) const;
    bool apart(std::size_t one, std::size_t other) const;
    void lose_owner(std::size_t rank);
    void move_ownership(std::size_t lost);
    std::size_t instance_for(const call& arrived) const;
    void submit(std::uint64_t request);
    void send_event(std::size_t instance,
                    const decision::scheduler_event& event);
    void send_view(std::size_t instance);
    void send_to_peer(std::size_t from, const std::string& peer,
                      decision::scheduler_event event);

    void act(std::size_t instance, const decision::start_request& action);
    void act(std::size_t instance, const decision::refuse_request& action);
    void act(std::size_t instance, const decision::expire_request& action);
    void act(std::size_t instance, const decision::ask_slots& action);
    void act(std::size_t instance, const decision::answer_ask& action);
    void act(std::size_t instance, const decision::ask_repeats& action);
    void act(std::size_t instance, const decision::give_repeats& action);
    void act(std::size_t instance, const decision::give_grant& action);
    void act(std::size_t instance, const decision::return_grant& action);
    void act(std::size_t instance, const decision::wake_at& action);

    void attempt_ended(std::uint64_t request, const std::string& server,
                       const attempt_result& result, duration service_time);
    void retry(std::uint64_t request);
    bool may_retry(const pending_call& ended,
                   const attempt_result& result) const;
    void finish_call(std::uint64_t request, const attempt_result& result);

    // waxwing_hedges.cpp
    void watch_for_hedge(std::uint64_t request);
    void consider_hedge(std::uint64_t request, time_point sent);
    void send_hedge(std::uint64_t request);
    // Ends the other copy after an answer.
    void cancel_partner(std::uint64_t request);
    // True when the other copy goes on in place of this one.
    bool partner_goes_on(std::uint64_t request);

    void server_leaves(const std::string& server, std::size_t observer);

    decision::scheduling_policy knobs_;
    bool hedging_;
    event_listener listener_;
    replay_world* world_ = nullptr;
    service service_;
    configuration_ptr config_;
    std::vector<side_view> sides_;
    bool split_ = false;
    std::vector<backend_belief> beliefs_;
    std::vector<entry_instance> instances_;
    std::unordered_map<std::string, std::size_t> instance_places_;
    std::unordered_map<std::string, std::size_t> server_places_;
    std::unordered_map<std::uint64_t, pending_call> pending_;
    std::uint64_t next_request_ = 1;
    std::uint64_t probes_ = 0;
};

} // namespace waxwingvale::replay
