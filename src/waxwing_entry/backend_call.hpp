#pragma once

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/model/configuration.hpp>

#include "waxwing_entry/call_record.hpp"

namespace waxwingvale::entry {

// The request as it goes to a backend server: the caller's, less hop-by-hop
// headers, with what is left of the deadline and the attempt's number.
io::http_call make_backend_call(const call_record& call,
                                const backend_server& to, time_point now);

} // namespace waxwingvale::entry
