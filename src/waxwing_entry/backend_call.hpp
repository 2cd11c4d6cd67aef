#pragma once

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/model/configuration.hpp>

#include "waxwing_entry/call_record.hpp"

namespace waxwingvale::entry {

// Which connection an attempt may go out on.
enum class connection_choice { kept_or_new, new_only };

// The request as it goes to a backend server: the caller's, less hop-by-hop
// headers, with what is left of the deadline and the attempt's number. What
// must run at most once always goes out on a new connection.
io::http_call make_backend_call(const call_record& call,
                                const backend_server& to,
                                connection_choice choice, time_point now);

} // namespace waxwingvale::entry
