#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "waxwing_control/knowledge.hpp"
#include <waxwingvale/io/control_messages.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::control {

// The processes beside this one: waxwing-entry and waxwing-steer are told
// every change as a whole view; the entry tells what real traffic showed.
class local_processes {
public:
    local_processes(io::message_hub& hub, kernel::timer_service& timers,
                    knowledge& known, std::uint64_t control_incarnation);

    // Called when a report may have changed what is known.
    void on_report(std::function<void()> handler) {
        on_report_ = std::move(handler);
    }

    // Sends a new view if anything differs from the last one. The first one
    // waits until a peer has told what it knows, or for a bounded time.
    void publish(bool introduced);
    // Looks whether entry is there.
    void tick(time_point now);

    view_ptr last_view() const { return last_; }
    // Revisions that the processes have reported, by process name.
    const std::map<std::string, std::uint64_t>& in_force() const {
        return in_force_;
    }
    std::uint64_t malformed() const { return malformed_; }

private:
    void on_link(const std::string& process, bool up);
    void send_view(const std::string& process);
    view make_view() const;
    bool knows_enough(bool introduced) const;
    bool is_local(const std::string& process) const;
    template <typename Report, typename Taker>
    void take(const result<Report>& report, Taker taker);
    void take_life(const io::entry_life& life);
    void take_beliefs(const io::belief_report& report);
    void take_suspect(const io::suspect_report& report);
    void take_quarantine(const io::quarantine_report& report);
    void subscribe();

    io::message_hub& hub_;
    kernel::timer_service& timers_;
    knowledge& known_;
    std::uint64_t incarnation_;
    std::string entry_;
    std::string steer_;
    view_ptr last_;
    std::map<std::string, std::uint64_t> in_force_;
    std::function<void()> on_report_;
    time_point started_;
    bool entry_up_ = false;
    bool entry_seen_ = false;
    std::uint64_t entry_ask_ = 0; // the last that it made
    time_point entry_lost_{};
    std::uint64_t malformed_ = 0;
};

} // namespace waxwingvale::control
