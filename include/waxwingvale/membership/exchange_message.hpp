#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/membership/member_record.hpp>
#include <waxwingvale/membership/packed_text.hpp>
#include <waxwingvale/membership/quarantine_table.hpp>
#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/model/view.hpp>

// What entry instances say to each other of what they know.
namespace waxwingvale::membership {

// One number for each table, the same for the same records.
struct table_fingerprints {
    std::uint64_t members = 0;
    std::uint64_t beliefs = 0;
    std::uint64_t registry = 0;
    std::uint64_t quarantine = 0;

    friend bool operator==(const table_fingerprints& a,
                           const table_fingerprints& b) {
        return std::tie(a.members, a.beliefs, a.registry, a.quarantine) ==
               std::tie(b.members, b.beliefs, b.registry, b.quarantine);
    }
};

// Whether the sender wants to be told the receiver's news from now on, or has
// no room for the receiver among those it tells its own.
enum class listening { as_before, starts, ends, declined };

// All that the sender knows, in a few numbers. Sent now and then, when a feed
// changes, and to ask whether anybody is there after a late wake-up.
struct digest_message {
    std::uint64_t asks = 0;     // an epoch to be named in an answer; 0: none
    std::uint64_t answers = 0;  // the epoch that the receiver asked with
    std::uint64_t revision = 0; // configuration in force
    std::uint64_t refused = 0;  // a newer file that was refused, or 0
    table_fingerprints tables;
    listening listens = listening::as_before;
};

// Asks for the records of the parts in which the two differ, of the tables
// that are named.
struct records_request {
    std::optional<digest_buckets> members;
    std::optional<digest_buckets> beliefs;
    std::optional<digest_buckets> registry;
    bool quarantine = false;
};

// Records that changed, or those that were asked for.
struct records_message {
    std::vector<member_record> members;
    std::vector<belief_record> beliefs;
    std::vector<registry_record> registry;
    std::vector<quarantine_record> quarantine;
    std::vector<death_record> deaths;
    // The sender has sent all it has of these, and wants what is newer.
    std::vector<unsigned> member_buckets;
    std::vector<unsigned> belief_buckets;
    std::vector<unsigned> registry_buckets;
    bool whole_quarantine = false;
    bool answers_request = false;
};

// A revision that the sender has in force; the receiver asks for it if it
// does not get it from the platform first.
struct revision_message {
    std::uint64_t revision = 0;
    std::uint64_t refused = 0; // a newer file that was refused, or 0
};

// Asks for the files at the receiver that are newer than the sender's.
struct configuration_request {
    std::uint64_t revision = 0; // in force at the sender
    std::uint64_t refused = 0;  // the newest file refused there, or 0
};

// A file that is in force at the sender, or was refused there: then it will
// be refused here too, and is passed on so that every instance shows it.
struct configuration_message {
    std::uint64_t revision = 0;
    packed_text text;
};

// How old the newest word of the platform is that the sender has, who read it,
// and what the sender holds of it: a receiver that holds other things has
// missed a message.
struct platform_word {
    std::string reader;
    duration age{};
    std::uint64_t registry = 0; // fingerprint of the sender's table
    std::uint64_t revision = 0; // configuration in force at the sender
};

using exchange_message =
    std::variant<digest_message, records_message, revision_message,
                 configuration_request, configuration_message, platform_word,
                 records_request>;

// A message and the entry instance that it goes to. One message may go to
// many; they share it.
struct addressed_message {
    std::string peer;
    std::shared_ptr<const exchange_message> message;
};

} // namespace waxwingvale::membership
