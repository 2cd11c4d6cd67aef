#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/view_codec.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/kernel/service_registry.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>
#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::program {

// Published on the bus when a newer view has come from waxwing-control.
struct view_arrived {
    view_ptr now;
};

// Keeps the last good view that the control process of this entry instance
// sent. When that process is gone the last view stays: calls go on.
class view_feed {
public:
    // Finds the peers, the timers and the bus by their names.
    view_feed(const kernel::service_registry& services, const settings& from);

    // The last view, or null before the first came.
    const view_ptr& current() const { return current_; }

private:
    void take(const io::view_bytes& bytes);
    bool is_newer(const view& candidate) const;
    void report_in_force() const;

    io::message_hub& hub_;
    kernel::timer_service& timers_;
    kernel::message_bus& bus_;
    std::string control_name_;
    io::view_decoder decoder_;
    view_ptr current_;
};

} // namespace waxwingvale::program
