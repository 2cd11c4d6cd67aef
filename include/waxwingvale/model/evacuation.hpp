#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// An operator's order to send nothing to the backend servers of a data centre
// until it is taken back.
struct evacuation {
    std::string data_centre;
    std::uint64_t revision = 0; // of the platform, at the order
    time_point since{};         // when this instance first knew of it

    friend bool operator==(const evacuation& a, const evacuation& b) {
        return std::tie(a.data_centre, a.revision, a.since) ==
               std::tie(b.data_centre, b.revision, b.since);
    }
};

// A backend server that gets nothing while its data centre is evacuated.
struct evacuated_server {
    std::string service;
    std::string name;
    std::string data_centre;

    friend bool operator==(const evacuated_server& a,
                           const evacuated_server& b) {
        return std::tie(a.service, a.name, a.data_centre) ==
               std::tie(b.service, b.name, b.data_centre);
    }
};

} // namespace waxwingvale
