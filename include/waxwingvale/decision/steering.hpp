#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The address of an entry instance, as returned to a caller. The weight is the
// number of slots that the instance owns; with weight 0 the instance owns none
// and is only a fallback.
struct steering_address {
    member_id member;
    std::string host;
    std::uint16_t port = 0;
    unsigned weight = 0;
};

bool operator==(const steering_address& a, const steering_address& b);

// Addresses for one caller: it uses the first address, and the others as
// fallbacks in order. It requests new addresses after `ttl`.
struct steering_answer {
    std::vector<steering_address> addresses;
    duration ttl{};
};

bool operator==(const steering_answer& a, const steering_answer& b);

// The caller that requests addresses. The hash identifies the caller (by its
// network address or its own name). It must be the same in each request, or the
// caller is sent to other instances.
struct steering_caller {
    std::uint64_t hash = 0;
    std::string data_centre; // empty if unknown
    // A number that differs between the requests of one caller, such as a
    // count. It varies the ttl, so that callers that once sent requests at the
    // same time do not all return at the same time.
    std::uint64_t request_number = 0;
};

// Maximum number of addresses in one answer.
inline constexpr std::size_t addresses_per_answer = 4;

// Returns the addresses for the caller in order of preference. Owners come
// first, ordered by rendezvous hashing weighted by the slots that they own, so
// that callers are distributed in proportion to the slots. Instances without
// slots follow, those in the caller's data centre before others. Suspect
// members come after these, and partitioned ones last. Empty if no member is
// alive or suspect.
steering_answer steer_caller(const configuration& config,
                             const ownership& owners,
                             const std::vector<member>& members,
                             const steering_caller& caller);

// Returns equivalent instances for callers of a data centre: the alive
// instances of the caller's data centre; if there are none, those of its
// region; if there are none, those in `home_regions`, or all if `home_regions`
// is empty. Instances with far less capacity than the largest of these are left
// out. Partitioned instances, chosen in the same way, come after the others.
// At most `max_count` instances, in an order that depends on the caller.
std::vector<member> nearby_instances(
    const std::vector<member>& members,
    const std::vector<data_centre>& data_centres, const steering_caller& caller,
    const std::vector<std::string>& home_regions, std::size_t max_count);

} // namespace waxwingvale::decision
