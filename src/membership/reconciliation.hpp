#pragma once

#include <optional>

#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/membership/known_state.hpp>

// Anti-entropy between two instances, in three steps: compare one hash per
// table, then one hash per bucket of the tables that differ, then transfer the
// records of the buckets that differ. Most comparisons end after the first
// step.
namespace waxwingvale::membership {

table_fingerprints fingerprints_of(const known_state& state);

// The request to a peer with these fingerprints; empty if its tables equal
// ours.
std::optional<records_request>
difference_request(const known_state& state, const table_fingerprints& theirs);

// All our records of the buckets that differ from the requester's.
records_message answer_request(const known_state& state,
                               const records_request& request);

// Our records that the sender of `theirs` lacks or has in another version, in
// the buckets of which it sent all its records.
records_message missing_from(const known_state& state,
                             const records_message& theirs);

bool is_empty(const records_message& message);
std::size_t count_of(const records_message& message);

} // namespace waxwingvale::membership
