#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/decision/scheduling_policy.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// State of one backend server, for metrics and explain.
struct slot_report {
    std::string backend_server;
    bool owned = false;     // its slots are owned by this instance
    unsigned slots = 0;     // by configuration
    unsigned usable = 0;    // less those lost to cold start, shedding, vetoes
    unsigned in_flight = 0; // requests of this instance and granted slots
    bool straggler = false;
    bool failing = false;
    double slowness = 1; // ratio of its service time to the usual one
};

bool operator==(const slot_report& a, const slot_report& b);

// What this instance has decided on repeated attempts since its start, and what
// is left of its part of the service's budget.
struct repeat_report {
    std::uint64_t allowed = 0;
    std::uint64_t declined = 0;  // for want of budget
    std::uint64_t uncounted = 0; // sent though nobody paid for them
    double tokens = 0;
    double capacity = 0;
    duration held_for{}; // since this process began
};

// The quantities by which a scheduler currently admits and refuses requests.
struct scheduler_load {
    bool owns_slots = false;     // this instance owns slots of the service
    std::size_t queued = 0;      // queued requests that can meet their target
    std::size_t queued_late = 0; // queued requests that cannot
    unsigned working_slots = 0;  // of servers neither failing nor stragglers
    double prompt_slots = 0;     // those of them on servers not slowed down
    double spare_slots = 0;      // those that requests in time do not need
    unsigned busy_slots = 0;     // in use, lent ones included
    std::size_t lent_slots = 0;  // slots granted to peers
    double arrivals_per_second = 0;
    std::uint64_t refused = 0; // requests since the start, those of peers too
    repeat_report repeats;
};

// Decides, for one service on one entry instance, when and where each request
// runs. Slots owned by this instance are assigned from one queue, and only when
// one is free; owners of other slots are asked for them. A share of the slots
// of unreachable owners is used without asking. Pure: the caller passes the
// time in and carries out the actions returned.
class service_scheduler {
public:
    // `process_began`: since when this process has run; whatever a former one
    // of this name did came before.
    service_scheduler(std::string service, member_id self,
                      const scheduling_policy& policy,
                      time_point process_began);
    ~service_scheduler();
    service_scheduler(service_scheduler&&) noexcept;
    service_scheduler& operator=(service_scheduler&&) noexcept;
    service_scheduler(const service_scheduler&) = delete;
    service_scheduler& operator=(const service_scheduler&) = delete;

    // Handles one event and appends the resulting actions. A `now` earlier than
    // a previous one is replaced by that one, so that time never goes back.
    void handle(const scheduler_event& event, time_point now,
                std::vector<scheduler_action>& actions);

    std::size_t queued() const;
    std::size_t in_flight() const;
    // Whether no request is queued and a slot may be free, on this instance or
    // at another owner. A hedge may be sent only then.
    bool has_spare_slot() const;
    // Whether this instance owns slots, also in place of an owner that cannot
    // be reached. One that owns none may use a share of such an owner's slots.
    bool owns_slots() const;
    std::vector<slot_report> slots() const;
    scheduler_load load(time_point now) const;
    // Backend servers owned by this instance that have not reported their load
    // for so long that they should be probed.
    std::vector<std::string> servers_to_probe(time_point now) const;
    // Whether a probe may be sent to the backend server now, as far as the
    // limit that it names is concerned.
    bool may_probe(const std::string& backend_server, time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwingvale::decision
