#include <waxwingvale/decision/steering.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

#include "decision/fleet_capacity.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

struct candidate_address {
    steering_address address;
    bool suspect = false;     // not heard from for a while: only a fallback
    bool partitioned = false; // serves by way of others: only a fallback
    bool runs_late = false;   // only a fallback, too
    bool owner = false;
    bool is_local = false; // in the caller's data centre
    double score = 0;
};

// Rendezvous weight of an instance without slots.
constexpr double fallback_weight = 1.0;

bool is_preferred(const candidate_address& a, const candidate_address& b) {
    // Owners are ordered by score only, so that callers are distributed in
    // proportion to the slots. The data centre matters only for instances
    // without slots.
    const bool a_local = a.is_local && !a.owner;
    const bool b_local = b.is_local && !b.owner;
    return std::make_tuple(!a.partitioned, !a.runs_late, !a.suspect, a.owner,
                           a_local, a.score) >
           std::make_tuple(!b.partitioned, !b.runs_late, !b.suspect, b.owner,
                           b_local, b.score);
}

candidate_address make_candidate(const member& of, const ownership& owners,
                                 const steering_caller& caller) {
    const slot_owner* owned = find_owner(owners, of.id.name);
    candidate_address made;
    made.address = {of.id, of.addresses.host, of.addresses.caller_port,
                    owned != nullptr ? owned->slots : 0};
    made.suspect = of.state == member_state::suspect;
    made.partitioned = of.partitioned;
    made.runs_late = of.runs_late;
    made.owner = made.address.weight > 0;
    made.is_local = of.data_centre == caller.data_centre;
    const double weight =
        made.owner ? static_cast<double>(owned->slots) : fallback_weight;
    made.score = rendezvous_score(stable_hash(of.id.name, caller.hash), weight);
    return made;
}

duration ttl_for(const configuration& config, const steering_caller& caller) {
    const duration span = config.address_keep_max - config.address_keep_min;
    if (span <= duration::zero()) {
        return config.address_keep_min;
    }
    const double fraction =
        unit_interval(combine_hashes(caller.hash, caller.request_number));
    return config.address_keep_min +
           duration(static_cast<duration::rep>(
               fraction * static_cast<double>(span.count())));
}

} // namespace

bool operator==(const steering_address& a, const steering_address& b) {
    return std::tie(a.member, a.host, a.port, a.weight) ==
           std::tie(b.member, b.host, b.port, b.weight);
}

bool operator==(const steering_answer& a, const steering_answer& b) {
    return std::tie(a.addresses, a.ttl) == std::tie(b.addresses, b.ttl);
}

steering_answer steer_caller(const configuration& config,
                             const ownership& owners,
                             const std::vector<member>& members,
                             const steering_caller& caller) {
    std::vector<candidate_address> candidates;
    for (const member& candidate : members) {
        if (candidate.state == member_state::alive ||
            candidate.state == member_state::suspect) {
            candidates.push_back(make_candidate(candidate, owners, caller));
        }
    }
    std::sort(candidates.begin(), candidates.end(), is_preferred);
    steering_answer answer;
    for (const candidate_address& candidate : candidates) {
        if (answer.addresses.size() == addresses_per_answer) {
            break;
        }
        answer.addresses.push_back(candidate.address);
    }
    answer.ttl = ttl_for(config, caller);
    return answer;
}

namespace {

std::string region_of(const std::vector<data_centre>& data_centres,
                      const std::string& name) {
    const auto found = std::find_if(
        data_centres.begin(), data_centres.end(),
        [&](const data_centre& each) { return each.name == name; });
    return found == data_centres.end() ? std::string() : found->region;
}

// Leaves out low-capacity machines, unless there are no others.
std::vector<member> without_low_capacity(const std::vector<member>& all) {
    const fleet_capacity capacity(all);
    std::vector<member> high_capacity;
    for (const auto& each : all) {
        if (capacity.has_high_capacity(each)) {
            high_capacity.push_back(each);
        }
    }
    return high_capacity.empty() ? all : high_capacity;
}

// Leaves out members that run late, unless so few others are in touch that
// these would run late in turn.
std::vector<member> without_late(const std::vector<member>& all) {
    constexpr std::size_t most_in_place_of_one = 4;
    std::vector<member> prompt;
    std::size_t in_touch = 0;
    for (const auto& each : all) {
        const bool counts =
            each.state == member_state::alive && !each.partitioned;
        in_touch += counts ? 1 : 0;
        if (counts && !each.runs_late) {
            prompt.push_back(each);
        }
    }
    const bool enough =
        !prompt.empty() && prompt.size() * most_in_place_of_one >= in_touch;
    if (!enough) {
        return all;
    }
    std::vector<member> kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept),
                 [](const member& each) { return !each.runs_late; });
    return kept;
}

// Equivalent instances for a caller, whatever their number.
std::vector<member> near_caller(const std::vector<member>& members,
                                const std::vector<data_centre>& data_centres,
                                const steering_caller& caller,
                                const std::vector<std::string>& home_regions) {
    const auto region = region_of(data_centres, caller.data_centre);
    std::vector<member> in_data_centre;
    std::vector<member> in_region;
    std::vector<member> all;
    for (const auto& each : members) {
        if (each.state != member_state::alive) {
            continue;
        }
        const auto member_region = region_of(data_centres, each.data_centre);
        const bool in_home_region =
            home_regions.empty() ||
            std::find(home_regions.begin(), home_regions.end(),
                      member_region) != home_regions.end();
        if (in_home_region) {
            all.push_back(each);
        }
        if (each.data_centre == caller.data_centre) {
            in_data_centre.push_back(each);
        }
        if (!region.empty() && member_region == region) {
            in_region.push_back(each);
        }
    }
    return without_low_capacity(!in_data_centre.empty() ? in_data_centre
                                : !in_region.empty()    ? in_region
                                                        : all);
}

void sort_for(const steering_caller& caller, std::vector<member>& members) {
    std::sort(members.begin(), members.end(),
              [&](const member& a, const member& b) {
                  return stable_hash(a.id.name, caller.hash) <
                         stable_hash(b.id.name, caller.hash);
              });
}

} // namespace

std::vector<member> nearby_instances(
    const std::vector<member>& members,
    const std::vector<data_centre>& data_centres, const steering_caller& caller,
    const std::vector<std::string>& home_regions, std::size_t max_count) {
    std::vector<member> in_touch;
    std::vector<member> partitioned;
    for (const auto& each : without_late(members)) {
        (each.partitioned ? partitioned : in_touch).push_back(each);
    }
    auto chosen = near_caller(in_touch, data_centres, caller, home_regions);
    auto last = near_caller(partitioned, data_centres, caller, home_regions);
    sort_for(caller, chosen);
    sort_for(caller, last);
    chosen.insert(chosen.end(), last.begin(), last.end());
    if (chosen.size() > max_count) {
        chosen.resize(max_count);
    }
    return chosen;
}

} // namespace waxwingvale::decision
