#pragma once

#include <optional>
#include <string>

#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::entry {

// HTTP status codes of answers that an entry instance itself gives.
namespace status {
constexpr unsigned bad_request = 400;
constexpr unsigned forbidden = 403;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned unprocessable = 422;
constexpr unsigned bad_gateway = 502;
constexpr unsigned service_unavailable = 503;
constexpr unsigned gateway_timeout = 504;
} // namespace status

// When nothing better is known of when an answer will be possible.
constexpr duration retry_after_default = std::chrono::seconds(1);
// And when a backend server refused although it had free slots: there is
// nothing to wait for. Time enough for the callers refused in one turn of the
// loop to come apart.
constexpr duration retry_after_refusal = std::chrono::milliseconds(10);

// And before the first configuration is known. An instance of half a core reads
// it within 90 ms of its start (from its logs, among 123 that start together);
// callers who are told a second have their answers late.
constexpr duration retry_after_start = std::chrono::milliseconds(100);

// An answer that no backend server gave.
struct own_answer {
    unsigned status = status::service_unavailable;
    run_outcome outcome = run_outcome::not_run;
    std::string reason; // a fixed word, also for logs
    std::string detail; // for people, in the body
    std::optional<duration> retry_after;
};

} // namespace waxwingvale::entry
