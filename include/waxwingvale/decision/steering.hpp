#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// One address for a caller. The weight is the number of slots behind it; 0
// marks an instance that owns none and is only a fallback.
struct steering_address {
    member_id member;
    std::string host;
    std::uint16_t port = 0;
    unsigned weight = 0;
};

bool operator==(const steering_address& a, const steering_address& b);

// The answer to "which address?": the first address is to be used, the
// others are fallbacks in order, and the caller asks again after keep.
struct steering_answer {
    std::vector<steering_address> addresses;
    duration keep{};
};

bool operator==(const steering_answer& a, const steering_answer& b);

// Who asks. The hash stands for the caller (its address or its own name) and
// must be the same at every asking for the caller to stay where it is.
struct steering_caller {
    std::uint64_t hash = 0;
    std::string data_centre; // empty: not known
    // Counts the caller's askings, or any number that differs between them:
    // it varies the keep time, so that callers who once asked together do not
    // return together.
    std::uint64_t window = 0;
};

// Most addresses in one answer.
inline constexpr std::size_t addresses_per_answer = 4;

// The addresses for that caller, in order of preference: owners first, each
// caller's own by rendezvous with the owned slots as weights, so that callers
// divide as the slots do; then instances without slots, of the caller's data
// centre before others. Empty when no member is alive or suspect.
steering_answer steer_caller(const configuration& config,
                             const ownership& owners,
                             const std::vector<member>& members,
                             const steering_caller& caller);

// The instances to which callers of a data centre are sent, each of which may
// be used as well as another: those that are alive there, without the ones
// that are far weaker than the strongest; where none is, those of its region,
// and then all, or with homes those in one of these regions. At most `most`, in
// an order that differs between callers.
std::vector<member>
nearby_instances(const std::vector<member>& members,
                 const std::vector<data_centre>& data_centres,
                 const steering_caller& caller,
                 const std::vector<std::string>& homes, std::size_t most);

} // namespace waxwingvale::decision
