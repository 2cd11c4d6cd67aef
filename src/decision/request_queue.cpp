#include "decision/request_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace waxwingvale::decision {

bool request_queue::by_priority::operator()(const position& a,
                                            const position& b) const {
    return std::tie(a.priority, a.latest_start, a.sequence) <
           std::tie(b.priority, b.latest_start, b.sequence);
}

bool request_queue::by_urgency::operator()(const position& a,
                                           const position& b) const {
    return std::tie(a.latest_start, a.sequence) <
           std::tie(b.latest_start, b.sequence);
}

double request_queue::tenant_queue::requests_before(unsigned priority) const {
    std::size_t sum = 0;
    for (auto it = sizes.begin(); it != sizes.upper_bound(priority); ++it) {
        sum += it->second;
    }
    return static_cast<double>(sum);
}

request_queue::request_queue(unsigned fairness_window,
                             unsigned urgency_only_interval)
    : fairness_window_(fairness_window),
      urgency_only_interval_(urgency_only_interval) {}

void request_queue::set_tenants(const std::vector<tenant>& tenants) {
    for (auto& known : tenants_) {
        known.second.weight = 1;
        known.second.configured = false;
    }
    for (const tenant& named : tenants) {
        tenants_[named.name].weight = std::max(named.share, 1U);
        tenants_[named.name].configured = true;
    }
}

request_queue::tenant_queue&
request_queue::queue_of(const std::string& tenant_name) {
    return tenants_[tenant_name];
}

void request_queue::insert(queued_request entry) {
    const request_origin origin = entry.origin();
    const position place{entry.arrival.priority, entry.latest_start,
                         next_sequence_++, origin};
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    queue.positions.insert(place);
    queue.by_urgency.insert(place);
    ++queue.sizes[place.priority];
    by_urgency_.insert(place);
    if (entry.peer.empty()) {
        ++class_sizes_[entry.arrival.request_class];
    }
    entries_.emplace(origin, stored_request{std::move(entry), place});
}

void request_queue::push(queued_request entry) {
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    if (queue.positions.empty()) {
        // An idle tenant accumulates no credit. Otherwise it would take every
        // slot on its return until it had caught up.
        queue.served = std::max(queue.served, served_floor_);
    }
    insert(std::move(entry));
}

// Returns the tenant whose request is next, among the tenants that are not too
// far ahead of their share.
std::map<std::string, request_queue::tenant_queue>::iterator
request_queue::next_tenant(bool ignore_priority) {
    const auto goes_first = [&](const tenant_queue& a, const tenant_queue& b) {
        return ignore_priority
                   ? by_urgency()(*a.by_urgency.begin(), *b.by_urgency.begin())
                   : by_priority()(*a.positions.begin(), *b.positions.begin());
    };
    double lowest = std::numeric_limits<double>::max();
    for (const auto& named : tenants_) {
        if (!named.second.positions.empty()) {
            lowest = std::min(lowest, named.second.served);
        }
    }
    served_floor_ = std::max(served_floor_, lowest);
    auto best = tenants_.end();
    for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
        const tenant_queue& queue = it->second;
        if (queue.positions.empty() ||
            queue.served > lowest + fairness_window_ / queue.weight) {
            continue;
        }
        if (best == tenants_.end() || goes_first(queue, best->second)) {
            best = it;
        }
    }
    return best;
}

queued_request request_queue::pop() {
    ++pop_count_;
    const bool ignore_priority =
        urgency_only_interval_ != 0 && pop_count_ % urgency_only_interval_ == 0;
    tenant_queue& queue = next_tenant(ignore_priority)->second;
    queue.served += 1.0 / queue.weight;
    return take(ignore_priority ? queue.by_urgency.begin()->origin
                                : queue.positions.begin()->origin);
}

void request_queue::restore(queued_request entry) {
    --pop_count_;
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    if (queue.positions.empty()) {
        // The tenant's queue may have been removed meanwhile. A new queue with
        // served = 0 would be so far behind that it held all others back.
        queue.served = std::max(queue.served, served_floor_);
    } else {
        queue.served -= 1.0 / queue.weight;
    }
    insert(std::move(entry));
}

// Entries that reach 0 are removed: routes are added and removed all the time,
// and the class of each would otherwise take memory for good.
void request_queue::decrement_class_size(const queued_request& entry) {
    if (!entry.peer.empty()) {
        return; // counted by the peer that received it
    }
    const auto found = class_sizes_.find(entry.arrival.request_class);
    if (--found->second == 0) {
        class_sizes_.erase(found);
    }
}

// Takes the origin by value, since a reference may point into the entry that is
// erased.
queued_request request_queue::take(request_origin origin) {
    auto found = entries_.find(origin);
    queued_request entry = std::move(found->second.entry);
    tenant_queue& queue = queue_of(entry.arrival.tenant);
    queue.positions.erase(found->second.queue_position);
    queue.by_urgency.erase(found->second.queue_position);
    --queue.sizes[found->second.queue_position.priority];
    by_urgency_.erase(found->second.queue_position);
    decrement_class_size(entry);
    entries_.erase(found);
    if (queue.positions.empty() && !queue.configured) {
        // Callers choose tenant names. If the queues of unlisted tenants were
        // kept, each name would take memory for good.
        tenants_.erase(entry.arrival.tenant);
    }
    return entry;
}

std::optional<queued_request> request_queue::pop_overdue(time_point now) {
    if (by_urgency_.empty() || by_urgency_.begin()->latest_start > now) {
        return std::nullopt;
    }
    return take(by_urgency_.begin()->origin);
}

std::optional<queued_request>
request_queue::remove(const request_origin& origin) {
    if (!contains(origin)) {
        return std::nullopt;
    }
    return take(origin);
}

void request_queue::retain(const std::string& peer,
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

void request_queue::confirm(const request_origin& origin, time_point now) {
    const auto found = entries_.find(origin);
    if (found != entries_.end()) {
        found->second.entry.last_confirmed_at = now;
    }
}

std::size_t request_queue::class_size(const std::string& request_class) const {
    const auto found = class_sizes_.find(request_class);
    return found == class_sizes_.end() ? 0 : found->second;
}

time_point request_queue::earliest_latest_start() const {
    return by_urgency_.begin()->latest_start;
}

double request_queue::active_weight() const {
    double sum = 0;
    for (const auto& named : tenants_) {
        sum += named.second.positions.empty() ? 0.0 : named.second.weight;
    }
    return sum;
}

double request_queue::requests_ahead_of(const request_arrived& request,
                                        time_point latest_start) const {
    double before = 0; // over all tenants
    for (const auto& named : tenants_) {
        before += named.second.requests_before(request.priority);
    }
    const auto found = tenants_.find(request.tenant);
    const double own = found == tenants_.end()
                           ? 0
                           : found->second.requests_before(request.priority);
    if (own == 0) {
        // The first of its tenant waits for at most one round of the others.
        return std::min(before, active_weight());
    }
    const tenant_queue& queue = found->second;
    const position& first = *queue.positions.begin();
    if (first.priority == request.priority &&
        latest_start < first.latest_start) {
        return std::min(before, active_weight());
    }
    // All queued requests of the tenant count as more urgent, since counting
    // exactly would take time in proportion to the queue. Nearly all requests
    // of a tenant are allowed the same time and so belong at the end.
    return std::min(before, own * active_weight() / queue.weight);
}

} // namespace waxwingvale::decision
