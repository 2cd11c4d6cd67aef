#pragma once

#include <cstdint>
#include <string>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::standin {

// How service times are spread.
enum class service_shape { fixed, lognormal };

// What one stand-in backend server is.
struct backend_options {
    std::string name = "backend";
    std::uint64_t incarnation = 1;
    std::uint16_t port = 0; // 0: any free one
    unsigned slots = 2;     // requests served at once
    unsigned queue = 4;     // requests that wait for a slot; more are shed
    service_shape shape = service_shape::lognormal;
    duration service_time{}; // the mean
    std::uint64_t seed = 1;
    duration crash_delay{}; // from the start of a crashing request to the end
    duration cold_start{};  // how long after its start it is slow
    double cold_factor = 5; // by how much
};

// Faults that are on at the moment.
struct backend_faults {
    double straggle = 1; // service times are multiplied by it
    bool fail_fast = false;
    duration load_delay{}; // the load endpoint answers that much later
    time_point cold_until{};
    double cold_factor = 1;
    std::string limit = "none"; // requests per second, named in all answers
    // Seconds of rest for which it asks while it turns all requests away.
    std::string rest = "none";
};

} // namespace waxwingvale::standin
