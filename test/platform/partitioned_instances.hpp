#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/ending_servers.hpp"

namespace waxwingvale::platform {

// Five instances of which some reach no backend server, while callers, the
// platform and the other instances reach them. Reads and bookings are sent to
// each instance all the while.
class partitioned_instances {
public:
    explicit partitioned_instances(
        const std::vector<std::string>& zones = {"north"},
        const std::string& program = shipped_program);

    using numbers = std::set<std::size_t>; // of instances
    void cut(const numbers& which, sender_cut how);
    // Their open connections to servers are reset, and making one fails at
    // once with that error of the system. Only with cut_node.
    void cut_at_connect(const numbers& which, int error_number);
    void heal(const numbers& which);

    // Sends for that long, and tells by its name what became of it.
    void play(const std::string& phase, duration time);
    // The shares of the requests to these instances that were served then.
    double served(const std::string& phase, const numbers& by) const;
    double served_bookings(const std::string& phase, const numbers& by) const;
    unsigned refused_for_good() const;
    // Bookings that reached servers more than once.
    unsigned booked_twice() const;
    // Instances beside these.
    numbers others(const numbers& than) const;

    ending_servers world;

private:
    double share(const std::string& kind, const std::string& phase,
                 const numbers& of) const;
    void send_each(const std::string& phase);

    std::map<std::string, unsigned> bookings_; // arrivals, by attempt
    std::size_t sent_ = 0;
};

} // namespace waxwingvale::platform
