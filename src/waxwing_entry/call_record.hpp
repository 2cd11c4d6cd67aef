#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// An attempt that is on its way to a backend server. A hedge is known to the
// scheduler by a number of its own.
struct running_attempt {
    decision::request_id id = 0;
    std::string backend_server;
    io::http_client::call_id call = 0;
    time_point started{};
    std::string granted_by; // the owner whose slot it is; empty: an own slot
};

// A key's right to run, held by this call until its outcome is reported.
struct held_key {
    std::string key;
    std::uint64_t attempt = 0;
};

// A caller's request from its arrival to its answer.
struct call_record {
    call_record(decision::request_id number, io::http_request received,
                io::http_responder answer_by)
        : id(number),
          request(std::move(received)),
          respond(std::move(answer_by)) {}

    decision::request_id id;
    io::http_request request;
    io::http_responder respond;
    program::call_labels labels; // tenant, service and class
    request_nature nature = request_nature::at_most_once;
    std::string path; // what the backend server is asked for
    decision::request_fingerprint fingerprint;
    time_point arrived{};
    time_point deadline{};
    unsigned attempts_above = 0; // retries that callers of the caller made
    unsigned attempts_here = 0;
    std::vector<std::string> excluded; // backend servers that failed it
    std::optional<held_key> key;
    bool nested = false; // the caller is itself serving a call
    bool alone = false;  // under suspicion of crashing backend servers
    bool hedged = false;
    std::optional<running_attempt> running;
    std::optional<running_attempt> hedge;
    kernel::timer_service::subscription hedge_timer;
    kernel::timer_service::subscription silence_timer;
    kernel::timer_service::subscription deadline_timer;
    // What earlier attempts leave open: a read that got lost once is not
    // "not run" when its next attempt is refused.
    run_outcome earlier = run_outcome::not_run;
};

} // namespace waxwingvale::entry
