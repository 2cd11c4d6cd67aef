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

// Events that callers, backend servers, entry instances and the discovery
// platform record during a test run, as input of the history checker.
// docs/operations/history-file.md documents the lines from which these values
// are read.
namespace waxwingvale::decision {

// A caller sends the first copy of a request. `request` identifies the call
// and is the same for every copy of it. `key` is the idempotency key and may be
// empty.
struct request_invoked {
    std::string request;
    std::string key;
    request_nature nature = request_nature::retriable;
};

// One copy of a request ended at the caller, with or without an answer.
struct request_answered {
    std::string request;
    std::string key;
    unsigned status = 0;                // 0: no complete answer arrived
    std::optional<run_outcome> outcome; // as stated by the answer
    std::string body_digest;            // empty: not recorded
    std::string via;                    // entry instance; empty: not recorded
    std::optional<time_point> sent;     // when this copy was sent
};

// A backend server started to run a request.
struct run_began {
    backend_process backend;
    std::string request;
    std::string key;
};

// How a run at a backend server ended.
enum class run_end_reason {
    answered,  // the complete answer was passed on for sending
    cancelled, // the peer closed the connection
    expired,   // the deadline of the request passed
    failed     // the backend server answered with an error
};

struct run_ended {
    backend_process backend;
    std::string request;
    std::string key;
    run_end_reason reason = run_end_reason::answered;
    std::string body_digest; // of the answer; empty: not recorded
};

// A backend server refused a request because it had announced that it is
// leaving.
struct work_refused {
    backend_process backend;
};

// A backend server announced that it is leaving.
struct backend_leaving {
    backend_process backend;
};

// A backend server stopped in an orderly way.
struct backend_stopped {
    backend_process backend;
};

// A backend server received a probe of its health or load.
struct backend_probed {
    backend_process backend;
};

// An entry instance was told to stop.
struct entry_stopping {
    std::string entry_instance;
};

// The process of an entry instance ended, after entry_stopping or otherwise.
struct entry_stopped {
    std::string entry_instance;
};

// The discovery platform received a new valid configuration.
struct revision_published {
    std::uint64_t revision = 0;
};

// An entry instance put a configuration revision in force.
struct revision_in_force {
    std::string entry_instance;
    std::uint64_t revision = 0;
};

using history_event_payload =
    std::variant<request_invoked, request_answered, run_began, run_ended,
                 work_refused, backend_leaving, backend_stopped, backend_probed,
                 entry_stopping, entry_stopped, revision_published,
                 revision_in_force>;

// An event and the time at which it was recorded. One clock is used for the
// whole history.
struct history_event {
    time_point at{};
    history_event_payload payload;
};

using history = std::vector<history_event>;

} // namespace waxwingvale::decision
