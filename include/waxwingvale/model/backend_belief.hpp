#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <waxwingvale/model/backend_incarnation.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// Whether a backend server may be given new work.
enum class backend_state {
    serving,
    leaving, // asked to stop: finishes what it has, gets no new work
    dead     // gone; may come back as a new incarnation
};

// Which of the signals brought the word.
enum class belief_source {
    platform_list, // the platform's list of instances, which lags
    traffic,       // a refusal or header on a real request
    probe,         // a probe within the budget
    peer           // another entry instance said so
};

// What is believed of one backend server, who saw it, and how old the word is.
// Word about an incarnation says nothing about a later one: a restarted
// backend server is not dead because its predecessor was.
struct backend_belief {
    std::string backend_server;
    backend_incarnation incarnation = 0;
    backend_state state = backend_state::serving;
    belief_source source = belief_source::platform_list;
    std::string observer; // member name
    time_point since{};   // on this process's clock

    friend bool operator==(const backend_belief& a, const backend_belief& b) {
        return std::tie(a.backend_server, a.incarnation, a.state, a.source,
                        a.observer, a.since) ==
               std::tie(b.backend_server, b.incarnation, b.state, b.source,
                        b.observer, b.since);
    }
};

} // namespace waxwingvale
