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

// One backend server as the scheduler sees it, for metrics and explain.
struct slot_report {
    std::string backend_server;
    bool owned = false;
    unsigned slots = 0;     // by configuration
    unsigned usable = 0;    // after cold start, shedding and vetoes
    unsigned in_flight = 0; // own requests and grants given away
    bool straggler = false;
    bool failing = false;
    double slowness = 1; // service time against the usual
};

bool operator==(const slot_report& a, const slot_report& b);

// By what a scheduler admits and turns down at the moment.
struct scheduler_load {
    bool owns = false;          // slots of the service are owned here
    std::size_t queued = 0;     // requests that can be answered in time
    std::size_t late = 0;       // and those that cannot
    unsigned working_slots = 0; // of servers that neither fail nor straggle
    double prompt_slots = 0;    // of those, the ones not slowed down
    double spare_slots = 0;     // what requests in time leave of them
    unsigned busy_slots = 0;    // of those that may be used here, lent ones too
    std::size_t lent = 0;       // grants that peers hold
    double arrivals_per_second = 0;
    std::uint64_t turned_down = 0; // since the start
};

// Decides, for one service on one entry instance, when and where each request
// runs: slots owned here are handed out from one queue, late, when one is
// free; slots of other owners are asked for; without an owner in reach a
// share of its slots is used. Pure: it is told the time and returns actions.
class service_scheduler {
public:
    service_scheduler(std::string service, member_id self,
                      const scheduling_policy& policy = {});
    ~service_scheduler();
    service_scheduler(service_scheduler&&) noexcept;
    service_scheduler& operator=(service_scheduler&&) noexcept;
    service_scheduler(const service_scheduler&) = delete;
    service_scheduler& operator=(const service_scheduler&) = delete;

    // Takes one event and appends what is to be done. now never goes back;
    // an earlier one counts as the latest seen.
    void handle(const scheduler_event& event, time_point now,
                std::vector<scheduler_action>& actions);

    std::size_t queued() const;
    std::size_t in_flight() const;
    // True when nothing waits and a slot may be free, here or with an owner:
    // only then may a hedge be sent.
    bool has_spare_slot() const;
    std::vector<slot_report> slots() const;
    scheduler_load load(time_point now) const;
    // Backend servers with slots owned here, of which so little was heard
    // lately that a probe is worth its while.
    std::vector<std::string> unheard(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwingvale::decision
