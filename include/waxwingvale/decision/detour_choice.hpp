#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// What a partitioned instance knows of those that may serve for it.
struct detour_facts {
    std::string self;
    std::string data_centre;                 // of this instance
    std::map<std::string, std::size_t> open; // requests handed on, by instance
    std::set<std::string> avoided;           // did not take one a moment ago
    std::uint64_t number = 0;                // differs from request to request
};

// Returns the instance that is to serve a request for a partitioned one, or
// nothing if none can: of two drawn in proportion to their capacity, the one
// that has fewer requests of this instance for its capacity. So all instances
// in touch get their parts, whoever hands on. Those of the own data centre are
// preferred as long as none of them would serve for more than two others.
std::optional<member> choose_detour(const std::vector<member>& members,
                                    const detour_facts& facts);

} // namespace waxwingvale::decision
