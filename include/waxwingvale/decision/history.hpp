#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

// What callers, backend servers, entry instances and the platform record of a
// run, for the history checker. docs/operations/history-file.md documents the
// lines that these values are read from.
namespace waxwingvale::decision {

// A caller asks for something for the first time. `request` names the call and
// is the same on every copy of it; `key` may be empty.
struct request_invoked {
    std::string request;
    std::string key;
    request_nature nature = request_nature::retriable;
};

// One copy of a request came to its end at the caller.
struct request_answered {
    std::string request;
    std::string key;
    unsigned status = 0;                // 0: no whole answer came
    std::optional<run_outcome> outcome; // as the answer stated it
    std::string body_digest;            // empty: not recorded
    std::string via;                    // entry instance; empty: not recorded
    std::optional<time_point> sent;     // when this copy was sent
};

// A backend server starts to run a request.
struct run_began {
    backend_life backend;
    std::string request;
    std::string key;
};

// How a run ended at the backend server.
enum class run_ending {
    answered,  // the whole answer was handed over to be sent
    cancelled, // the connection was closed by the other side
    expired,   // its deadline passed
    failed     // answered with an error of its own
};

struct run_ended {
    backend_life backend;
    std::string request;
    std::string key;
    run_ending how = run_ending::answered;
    std::string body_digest; // of the answer; empty: not recorded
};

// A backend server was asked for work after it had said that it leaves.
struct work_refused {
    backend_life backend;
};

struct backend_leaving {
    backend_life backend;
};

// A backend server has ended in an orderly way.
struct backend_stopped {
    backend_life backend;
};

// A backend server was probed: its health or load was asked for.
struct backend_probed {
    backend_life backend;
};

// An entry instance was told to stop, and has ended, by that or otherwise.
struct entry_stopping {
    std::string who;
};

struct entry_stopped {
    std::string who;
};

// The platform got a new configuration that is valid.
struct revision_published {
    std::uint64_t revision = 0;
};

// From now on an entry instance acts by that configuration.
struct revision_in_force {
    std::string who;
    std::uint64_t revision = 0;
};

using history_event_kind =
    std::variant<request_invoked, request_answered, run_began, run_ended,
                 work_refused, backend_leaving, backend_stopped, backend_probed,
                 entry_stopping, entry_stopped, revision_published,
                 revision_in_force>;

// An event and when it was recorded, by one clock for the whole history.
struct history_event {
    time_point at{};
    history_event_kind what;
};

using history = std::vector<history_event>;

} // namespace waxwingvale::decision
