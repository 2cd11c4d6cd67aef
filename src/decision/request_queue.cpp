#include "decision/request_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace waxwingvale::decision {

bool request_queue::rank::operator<(const rank& other) const {
    return std::tie(latest_start, sequence) <
           std::tie(other.latest_start, other.sequence);
}

request_queue::request_queue(unsigned fairness_window)
    : fairness_window_(fairness_window) {}

void request_queue::set_tenants(const std::vector<tenant>& tenants) {
    for (auto& known : tenants_) {
        known.second.weight = 1;
        known.second.named = false;
    }
    for (const tenant& named : tenants) {
        tenants_[named.name].weight = std::max(named.share, 1U);
        tenants_[named.name].named = true;
    }
}

request_queue::tenant_queue&
request_queue::queue_of(const std::string& tenant_name) {
    return tenants_[tenant_name];
}

void request_queue::insert(queued_request entry) {
    const request_origin origin = entry.origin();
    const rank place{entry.latest_start, next_sequence_++, origin};
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    queue.ranks.insert(place);
    ranks_.insert(place);
    class_sizes_[entry.arrival.request_class] += entry.peer.empty() ? 1 : 0;
    entries_.emplace(origin, stored{std::move(entry), place});
}

void request_queue::push(queued_request entry) {
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    if (queue.ranks.empty()) {
        // A tenant that was idle saves nothing up: else its return would
        // take every slot until it had caught up.
        queue.served = std::max(queue.served, served_floor_);
    }
    insert(std::move(entry));
}

std::map<std::string, request_queue::tenant_queue>::iterator
request_queue::next_tenant() {
    double lowest = std::numeric_limits<double>::max();
    for (const auto& named : tenants_) {
        if (!named.second.ranks.empty()) {
            lowest = std::min(lowest, named.second.served);
        }
    }
    served_floor_ = std::max(served_floor_, lowest);
    auto best = tenants_.end();
    for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
        const tenant_queue& queue = it->second;
        if (queue.ranks.empty() ||
            queue.served > lowest + fairness_window_ / queue.weight) {
            continue;
        }
        if (best == tenants_.end() ||
            *queue.ranks.begin() < *best->second.ranks.begin()) {
            best = it;
        }
    }
    return best;
}

queued_request request_queue::pop() {
    auto chosen = next_tenant();
    chosen->second.served += 1.0 / chosen->second.weight;
    return take(chosen->second.ranks.begin()->origin);
}

void request_queue::restore(queued_request entry) {
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    if (queue.ranks.empty()) {
        // It may have been forgotten meanwhile, and would begin at nothing:
        // far behind, it would hold all others back.
        queue.served = std::max(queue.served, served_floor_);
    } else {
        queue.served -= 1.0 / queue.weight;
    }
    insert(std::move(entry));
}

// By value: the name may be a part of what is erased.
queued_request request_queue::take(request_origin origin) {
    auto found = entries_.find(origin);
    queued_request entry = std::move(found->second.entry);
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    queue.ranks.erase(found->second.place);
    ranks_.erase(found->second.place);
    class_sizes_[entry.arrival.request_class] -= entry.peer.empty() ? 1 : 0;
    entries_.erase(found);
    if (queue.ranks.empty() && !queue.named) {
        // Callers choose the name: kept, each would take memory for good.
        tenants_.erase(entry.arrival.tenant);
    }
    return entry;
}

std::optional<queued_request> request_queue::pop_overdue(time_point now) {
    if (ranks_.empty() || ranks_.begin()->latest_start > now) {
        return std::nullopt;
    }
    return take(ranks_.begin()->origin);
}

std::optional<queued_request>
request_queue::remove(const request_origin& origin) {
    if (!contains(origin)) {
        return std::nullopt;
    }
    return take(origin);
}

void request_queue::keep_only(const std::string& peer,
                              const std::set<request_id>& kept) {
    std::vector<request_origin> dropped;
    for (const auto& entry : entries_) {
        const request_origin& origin = entry.first;
        if (origin.peer == peer && kept.count(origin.request) == 0) {
            dropped.push_back(origin);
        }
    }
    for (const request_origin& origin : dropped) {
        take(origin);
    }
}

bool request_queue::contains(const request_origin& origin) const {
    return entries_.count(origin) != 0;
}

const queued_request* request_queue::find(const request_origin& origin) const {
    const auto found = entries_.find(origin);
    return found == entries_.end() ? nullptr : &found->second.entry;
}

void request_queue::touch(const request_origin& origin, time_point now) {
    const auto found = entries_.find(origin);
    if (found != entries_.end()) {
        found->second.entry.told_at = now;
    }
}

std::size_t request_queue::class_size(const std::string& request_class) const {
    const auto found = class_sizes_.find(request_class);
    return found == class_sizes_.end() ? 0 : found->second;
}

time_point request_queue::most_urgent() const {
    return ranks_.begin()->latest_start;
}

double request_queue::active_weight() const {
    double sum = 0;
    for (const auto& named : tenants_) {
        sum += named.second.ranks.empty() ? 0.0 : named.second.weight;
    }
    return sum;
}

double request_queue::ahead_of(const std::string& tenant_name,
                               time_point latest_start) const {
    const auto total = static_cast<double>(ranks_.size());
    const auto found = tenants_.find(tenant_name);
    if (found == tenants_.end() || found->second.ranks.empty()) {
        // First of its tenant: at most one round of the others goes before.
        return std::min(total, active_weight());
    }
    const tenant_queue& queue = found->second;
    if (latest_start < queue.ranks.begin()->latest_start) {
        return std::min(total, active_weight());
    }
    // Counting only the more urgent ones of the tenant would take time in
    // proportion to the queue; nearly all requests of a tenant have the same
    // time allowed and queue up at the end.
    const double share = queue.weight / active_weight();
    return std::min(total, static_cast<double>(queue.ranks.size()) / share);
}

} // namespace waxwingvale::decision
