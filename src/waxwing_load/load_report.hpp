#pragma once

#include <string>

#include "waxwing_load/load_options.hpp"
#include "waxwing_load/load_run.hpp"

namespace waxwingvale::load {

// A plain table for people. Latencies in milliseconds.
std::string table_of(const load_options& options, const load_result& found);

// One JSON object with the same figures; docs/commands/waxwing-load.md names
// its fields.
std::string json_of(const load_options& options, const load_result& found);

// Every call has an answer of its own or a stated refusal.
bool nothing_lost(const load_result& found);

} // namespace waxwingvale::load
