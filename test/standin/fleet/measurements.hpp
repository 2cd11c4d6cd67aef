#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/control_fleet.hpp"

namespace waxwingvale::standin {

struct measurement_options {
    unsigned instances = 18;
    unsigned rounds = 50;
    unsigned backend_servers = 31;
    unsigned platform_for = 0; // how many reach the platform; 0: all
};

// Runs a fleet and measures it. Times are those at which a listener in the
// entry's place receives the view, its decoding included.
class measurements {
public:
    explicit measurements(measurement_options options);

    // From publication to the view at each instance.
    nlohmann::json configuration();
    // From one instance's report that a backend server is leaving to the view
    // at the last instance.
    nlohmann::json drain();
    // Bytes and CPU of each control process: idle, then with a belief each
    // 100 ms, then with a configuration each second.
    nlohmann::json cost();

private:
    struct spent {
        double peer_bytes = 0; // both directions, without the entry's link
        double peer_messages = 0;
        double cpu_seconds = 0;
        double platform_reads = 0;
    };

    void settle();
    void publish_next();
    void report_leaving(unsigned instance, const std::string& server);
    spent total();
    nlohmann::json part(const spent& before, double seconds, double events);
    double largest_memory_mb();

    measurement_options options_;
    control_fleet fleet_;
    std::uint64_t revision_ = 0;
    std::uint64_t drained_ = 0;
};

} // namespace waxwingvale::standin
