#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <waxwingvale/membership/belief_table.hpp>
#include <waxwingvale/membership/crash_verdict_table.hpp>
#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/membership/member_record.hpp>
#include <waxwingvale/membership/packed_text.hpp>
#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/model/view.hpp>

// The messages by which entry instances exchange what they know.
namespace waxwingvale::membership {

// One hash per table; equal tables have equal hashes.
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

// A change of a subscription: the sender subscribes to the receiver's updates,
// or unsubscribes, or declines the receiver as a subscriber because it serves
// as many as it can.
enum class subscription_change { none, subscribe, unsubscribe, declined };

// Hashes of all that the sender knows. Sent periodically, when a subscription
// changes, and after a late wake-up to query whether peers answer.
struct digest_message {
    // The sender's epoch, which the receiver returns in its answer; 0 requests
    // no answer.
    std::uint64_t query_epoch = 0;
    // The epoch of the receiver's query that this message answers, or 0.
    std::uint64_t answered_epoch = 0;
    std::uint64_t revision = 0; // configuration in force
    std::uint64_t refused = 0;  // revision of a newer file refused there, or 0
    table_fingerprints tables;
    subscription_change subscription = subscription_change::none;
};

// Requests the records of the buckets whose hashes differ, for each table that
// is present. The quarantine table is requested as a whole.
struct records_request {
    std::optional<digest_buckets> members;
    std::optional<digest_buckets> beliefs;
    std::optional<digest_buckets> registry;
    bool quarantine = false;
};

// Records that changed, or the answer to a records_request.
struct records_message {
    std::vector<member_record> members;
    std::vector<belief_record> beliefs;
    std::vector<registry_record> registry;
    std::vector<crash_verdict> quarantine;
    std::vector<death_record> deaths;
    // The message holds all of the sender's records of these buckets; the
    // receiver replies with the records that the sender lacks.
    std::vector<unsigned> member_buckets;
    std::vector<unsigned> belief_buckets;
    std::vector<unsigned> registry_buckets;
    bool complete_quarantine = false;
    bool answers_request = false;
};

// Announces the configuration that the sender has in force. The receiver
// requests it unless it gets it from the discovery platform first.
struct revision_message {
    std::uint64_t revision = 0;
    std::uint64_t refused = 0; // revision of a newer file refused there, or 0
};

// Requests the receiver's files that are newer than the sender's.
struct configuration_request {
    std::uint64_t revision = 0; // in force at the sender
    std::uint64_t refused = 0;  // newest revision refused there, or 0
};

// A file that is in force at the sender or was refused there. The receiver will
// refuse a refused file as well; it is sent so that every instance reports it.
struct configuration_message {
    std::uint64_t revision = 0;
    packed_text text;
};

// The age of the newest answer of the discovery platform that the sender knows,
// the instance that read it, and the state that the sender has from it. A
// receiver with a different state has missed a message.
struct platform_status {
    std::string reader;
    duration age{};
    std::uint64_t registry = 0; // fingerprint of the sender's table
    std::uint64_t revision = 0; // configuration in force at the sender
    // The newest configuration that the sender knows of, whose file it may
    // still lack; 0 from an older release.
    std::uint64_t newest = 0;
};

using exchange_message =
    std::variant<digest_message, records_message, revision_message,
                 configuration_request, configuration_message, platform_status,
                 records_request>;

// A message and the entry instance it is sent to. Messages with the same
// content for several peers share one object.
struct addressed_message {
    std::string peer;
    std::shared_ptr<const exchange_message> message;
};

} // namespace waxwingvale::membership
