#include <waxwingvale/decision/steering.hpp>

#include <algorithm>
#include <tuple>

#include "decision/machine_strength.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

struct candidate_address {
    steering_address address;
    bool suspect = false; // silent for a while: a fallback only
    bool owner = false;
    bool near = false; // in the caller's data centre
    double score = 0;
};

// Weight of an instance that owns no slots when such instances are compared.
constexpr double fallback_weight = 1.0;

bool better(const candidate_address& a, const candidate_address& b) {
    // Among owners the slots decide, so that callers divide as slots do;
    // nearness only orders instances that have no slots of their own.
    const bool a_near = a.near && !a.owner;
    const bool b_near = b.near && !b.owner;
    return std::make_tuple(!a.suspect, a.owner, a_near, a.score) >
           std::make_tuple(!b.suspect, b.owner, b_near, b.score);
}

candidate_address make_candidate(const member& of, const ownership& owners,
                                 const steering_caller& caller) {
    const slot_owner* owned = find_owner(owners, of.id.name);
    candidate_address made;
    made.address = {of.id, of.addresses.host, of.addresses.caller_port,
                    owned != nullptr ? owned->slots : 0};
    made.suspect = of.state == member_state::suspect;
    made.owner = made.address.weight > 0;
    made.near = of.data_centre == caller.data_centre;
    const double weight =
        made.owner ? static_cast<double>(owned->slots) : fallback_weight;
    made.score = rendezvous_score(stable_hash(of.id.name, caller.hash), weight);
    return made;
}

duration keep_time(const configuration& config, const steering_caller& caller) {
    const duration span = config.address_keep_max - config.address_keep_min;
    if (span <= duration::zero()) {
        return config.address_keep_min;
    }
    const double fraction =
        unit_interval(combine_hashes(caller.hash, caller.window));
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
    return std::tie(a.addresses, a.keep) == std::tie(b.addresses, b.keep);
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
    std::sort(candidates.begin(), candidates.end(), better);
    steering_answer answer;
    for (const candidate_address& candidate : candidates) {
        if (answer.addresses.size() == addresses_per_answer) {
            break;
        }
        answer.addresses.push_back(candidate.address);
    }
    answer.keep = keep_time(config, caller);
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

// Weak machines are left to those who cannot reach a better one.
std::vector<member> without_weak(const std::vector<member>& all) {
    const machine_strength strength(all);
    std::vector<member> strong;
    for (const auto& each : all) {
        if (strength.is_strong(each)) {
            strong.push_back(each);
        }
    }
    return strong.empty() ? all : strong;
}

} // namespace

std::vector<member>
nearby_instances(const std::vector<member>& members,
                 const std::vector<data_centre>& data_centres,
                 const steering_caller& caller,
                 const std::vector<std::string>& homes, std::size_t most) {
    const auto region = region_of(data_centres, caller.data_centre);
    std::vector<member> here;
    std::vector<member> in_region;
    std::vector<member> all;
    for (const auto& each : members) {
        if (each.state != member_state::alive) {
            continue;
        }
        const auto its_region = region_of(data_centres, each.data_centre);
        const bool at_home =
            homes.empty() ||
            std::find(homes.begin(), homes.end(), its_region) != homes.end();
        if (at_home) {
            all.push_back(each);
        }
        if (each.data_centre == caller.data_centre) {
            here.push_back(each);
        }
        if (!region.empty() && its_region == region) {
            in_region.push_back(each);
        }
    }
    auto chosen = without_weak(!here.empty()        ? here
                               : !in_region.empty() ? in_region
                                                    : all);
    std::sort(chosen.begin(), chosen.end(),
              [&](const member& a, const member& b) {
                  return stable_hash(a.id.name, caller.hash) <
                         stable_hash(b.id.name, caller.hash);
              });
    if (chosen.size() > most) {
        chosen.resize(most);
    }
    return chosen;
}

} // namespace waxwingvale::decision
