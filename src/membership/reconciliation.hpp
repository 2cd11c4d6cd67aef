#pragma once

#include <optional>

#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/membership/known_state.hpp>

// How two instances find what one of them lacks: a number for each table, then
// numbers for parts of the tables that differ, then the records of the parts
// that differ. Most comparisons end with the first.
namespace waxwingvale::membership {

table_fingerprints fingerprints_of(const known_state& state);

// What to ask a peer with those fingerprints for; nothing if its tables are
// as ours.
std::optional<records_request> request_to(const known_state& state,
                                          const table_fingerprints& theirs);

// All that we hold in the parts that differ.
records_message answer_to(const known_state& state,
                          const records_request& request);

// What we hold, in the parts that they sent whole, and they lack.
records_message newer_than(const known_state& state,
                           const records_message& theirs);

bool is_empty(const records_message& message);
std::size_t count_of(const records_message& message);

} // namespace waxwingvale::membership
