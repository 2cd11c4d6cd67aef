#include <waxwingvale/decision/detour_choice.hpp>

#include <algorithm>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

// How many partitioned instances of its data centre one in touch serves for.
constexpr std::size_t served_locally = 2;

using candidates = std::vector<const member*>;

bool may_serve(const member& each, const detour_facts& facts) {
    return each.state == member_state::alive && !each.partitioned &&
           each.addresses.detour_port != 0 && each.id.name != facts.self &&
           facts.avoided.count(each.id.name) == 0;
}

candidates candidates_of(const std::vector<member>& members,
                         const detour_facts& facts) {
    candidates all;
    candidates local;
    std::size_t partitioned_here = 0;
    for (const member& each : members) {
        const bool is_local = each.data_centre == facts.data_centre;
        partitioned_here += is_local && each.partitioned ? 1 : 0;
        if (!may_serve(each, facts)) {
            continue;
        }
        all.push_back(&each);
        if (is_local) {
            local.push_back(&each);
        }
    }
    const bool local_suffice =
        !local.empty() && local.size() * served_locally >= partitioned_here;
    return local_suffice ? local : all;
}

std::uint64_t weight_of(const member& each) {
    return std::max(each.capacity.cpu_permille, 1U);
}

const member& draw(const candidates& from, std::uint64_t number) {
    std::uint64_t total = 0;
    for (const auto* each : from) {
        total += weight_of(*each);
    }
    auto left = combine_hashes(number, total) % total;
    for (const auto* each : from) {
        if (left < weight_of(*each)) {
            return *each;
        }
        left -= weight_of(*each);
    }
    return *from.back();
}

double load_of(const member& each, const detour_facts& facts) {
    const auto open = facts.open.find(each.id.name);
    const auto count = open == facts.open.end() ? 0 : open->second;
    return static_cast<double>(count) / static_cast<double>(weight_of(each));
}

} // namespace

std::optional<member> choose_detour(const std::vector<member>& members,
                                    const detour_facts& facts) {
    const auto from = candidates_of(members, facts);
    if (from.empty()) {
        return std::nullopt;
    }
    const member& first = draw(from, 2 * facts.number);
    const member& second = draw(from, 2 * facts.number + 1);
    return load_of(second, facts) < load_of(first, facts) ? second : first;
}

} // namespace waxwingvale::decision
