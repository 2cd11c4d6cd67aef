#pragma once

#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

// The headers by which a partitioned instance hands a request to another one
// and learns what became of it. They stay between the two.
namespace waxwingvale::entry {

// What goes with a request beside what its caller sent.
struct detour_request {
    std::string from;             // the partitioned instance
    unsigned attempts_before = 0; // on backend servers, by whomever
    bool may_have_run = false;    // by one of these
    duration time_left{};
};

// What became of it.
enum class detour_outcome {
    ran,
    unknown,
    not_run,
    not_taken // not run, and another instance may take it
};

detour_outcome to_detour_outcome(run_outcome outcome);
run_outcome to_run_outcome(detour_outcome outcome);

// Shows that a request comes from an instance that holds the shared key.
std::string detour_token(const std::string& shared_key);

// Adds the header, before those of the caller.
void add_detour_header(io::http_headers& to, const detour_request& request,
                       const std::string& token);
// Takes the header out. Fails with refused if there is none, or if it is of
// nobody who holds the key.
result<detour_request> take_detour_header(io::http_headers& from,
                                          const std::string& token);

void add_outcome_header(io::http_headers& to, detour_outcome outcome);
// Takes it out; nothing if there is none that makes sense.
std::optional<detour_outcome> take_outcome_header(io::http_headers& from);

} // namespace waxwingvale::entry
