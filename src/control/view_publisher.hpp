#pragma once

#include <cstdint>

#include "control/knowledge.hpp"
#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::control {

// Tells the other parts of the process what is known: every change as a whole
// view on the bus.
class view_publisher {
public:
    view_publisher(kernel::message_bus& bus, kernel::timer_service& timers,
                   knowledge& known);

    // Publishes a new view if anything differs from the last one. The first
    // one waits until a peer has told what it knows, or for a bounded time.
    // Returns whether a view was published.
    bool publish(bool members_known);

    const view_ptr& last_view() const { return last_; }
    // Empty before the first view.
    const decision::service_ownerships& last_owners() const { return *owners_; }

private:
    view make_view();
    configuration_ptr with_registry();
    bool knows_enough() const;

    kernel::message_bus& bus_;
    kernel::timer_service& timers_;
    knowledge& known_;
    view_ptr last_;
    std::shared_ptr<const decision::service_ownerships> owners_ =
        std::make_shared<const decision::service_ownerships>();
    time_point started_;
    bool members_known_ = false; // or waited for long enough
    // The configuration with the servers registered at that version.
    configuration_ptr combined_from_;
    std::uint64_t combined_version_ = 0;
    configuration_ptr combined_;
    std::vector<evacuation> evacuations_;
    std::vector<evacuated_server> evacuated_servers_; // it lacks them
};

} // namespace waxwingvale::control
