#include "waxwing_entry/backend_call.hpp"

#include <algorithm>
#include <strings.h>
#include <utility>

#include "waxwing_entry/caller_call.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// Headers that are set anew on the way to a backend server.
bool is_rewritten(const std::string& name) {
    return strcasecmp(name.c_str(), header::deadline) == 0 ||
           strcasecmp(name.c_str(), header::attempt) == 0;
}

} // namespace

io::http_call make_backend_call(const call_record& call,
                                const backend_server& to,
                                connection_choice choice, time_point now) {
    const auto left = std::max<duration>(call.deadline - now, 1ms);
    io::http_call out;
    out.host = to.host;
    out.port = to.port;
    out.method = call.request.method;
    out.target = call.path;
    out.body = call.request.body;
    out.timeout = left;
    out.connect_timeout = left;
    // See http_call: on a kept connection it might be sent twice.
    out.fresh_connection = choice == connection_choice::new_only ||
                           call.nature == request_nature::at_most_once;
    for (auto& header : io::end_to_end_headers(call.request.headers)) {
        if (!is_rewritten(header.name)) {
            out.headers.push_back(std::move(header));
        }
    }
    const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left);
    out.headers.push_back({header::deadline, std::to_string(left_ms.count())});
    // Its presence tells the levels below that a level above retries.
    const auto attempt = call.attempts_above + call.attempts_here;
    out.headers.push_back({header::attempt, std::to_string(attempt)});
    return out;
}

} // namespace waxwingvale::entry
