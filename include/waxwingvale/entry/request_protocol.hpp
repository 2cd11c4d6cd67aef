#pragma once

#include <optional>
#include <string>

#include <waxwingvale/entry/backend_answer.hpp>
#include <waxwingvale/entry/caller_answer.hpp>
#include <waxwingvale/entry/caller_call.hpp>
#include <waxwingvale/forwarding/backend_call.hpp>
#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// What a protocol needs to know of an attempt to write its headers.
struct attempt_facts {
    std::string request_id;     // as understand() read it
    std::string backend_server; // for which the attempt is meant
    duration time_left{};
    unsigned attempt = 1; // those of the levels above included
};

// The headers by which callers, backend servers and entry instances understand
// each other. One is in use per process; it translates and decides nothing.
class request_protocol {
public:
    virtual ~request_protocol() = default;

    // Understands a request under a configuration. Fails with not_found when
    // nothing matches, with refused when the caller may not call it, and with
    // invalid_argument when a header does not parse; the error's peer is the
    // caller.
    virtual result<caller_call>
    understand(const configuration& config,
               const io::http_request& request) const = 0;

    // Whether the request may be a copy of one that was sent before and has
    // run: then nobody may say "not run" who has not looked for it.
    virtual bool may_be_resent(const io::http_request& request) const = 0;

    // Whether callers set that header anew for each attempt of a request: an id
    // of the attempt, a deadline. What identifies the caller is none.
    virtual bool is_of_one_attempt(const std::string& header) const = 0;

    // The headers of an attempt: the caller's end-to-end ones, and those that
    // the protocol sets anew.
    virtual io::http_headers
    backend_headers(const io::http_headers& from_caller,
                    const attempt_facts& facts) const = 0;
    // The header by which an answer is known to be this request's, if any.
    virtual std::optional<forwarding::echoed_header>
    echo_of(const attempt_facts& facts) const = 0;

    // What an ended call proves.
    virtual backend_answer
    classify(const forwarding::backend_result& ended) const = 0;

    // Whether callers take the answer as a promise that the request has not run
    // and never will. They send it again then, whatever its kind.
    virtual bool promises_not_run(const io::http_response& answer) const = 0;

    // An answer of our own, and a backend server's as the caller gets it:
    // whole and unaltered but for headers of one connection. `path_taken`
    // tells operators where it came from.
    virtual io::http_response render(const own_answer& answer) const = 0;
    virtual io::http_response pass_on(io::http_response answer,
                                      const std::string& path_taken) const = 0;

    // How a backend server of that service is asked for its health, and what
    // its answer tells.
    virtual std::string health_target(const service& of) const = 0;
    virtual backend_answer
    classify_health(const forwarding::backend_result& ended,
                    const std::string& backend_server) const = 0;
};

} // namespace waxwingvale::entry
