#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include <waxwingvale/decision/scheduler_events.hpp>

namespace waxwingvale::decision {

// Where a waiting request came from, and its number there.
struct request_origin {
    std::string peer; // empty: this instance
    request_id request = 0;

    friend bool operator==(const request_origin& a, const request_origin& b) {
        return a.request == b.request && a.peer == b.peer;
    }
    friend bool operator<(const request_origin& a, const request_origin& b) {
        return std::tie(a.request, a.peer) < std::tie(b.request, b.peer);
    }
};

// One waiting request, and the last moment at which starting it is useful.
struct queued_request {
    request_arrived arrival;
    time_point arrived_at{};
    time_point latest_start{};
    std::string peer;     // that holds it; empty: this instance
    time_point told_at{}; // when the peer last said that it waits

    request_origin origin() const { return {peer, arrival.request}; }
};

// The requests that wait for a slot. Those of the highest priority go first,
// and among them the most urgent. No tenant gets further ahead of its share
// than a window of requests, so that one tenant's flood does not take the
// others' slots; and one of so many goes by its urgency alone, so that no
// priority is left without any.
class request_queue {
public:
    request_queue(unsigned fairness_window, unsigned any_priority_every);

    // Weights of tenants; those not named have weight 1.
    void set_tenants(const std::vector<tenant>& tenants);

    void push(queued_request entry);
    // Takes the next request; the queue must not be empty.
    queued_request pop();
    // Puts back what pop gave, as if it had not been taken.
    void restore(queued_request entry);
    // Takes a request whose latest start is at or before that moment.
    std::optional<queued_request> pop_overdue(time_point now);
    std::optional<queued_request> remove(const request_origin& origin);
    // Drops all that a peer waits with, but for those named.
    void keep_only(const std::string& peer, const std::set<request_id>& kept);

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    bool contains(const request_origin& origin) const;
    const queued_request* find(const request_origin& origin) const;
    // The peer said again that it waits.
    void touch(const request_origin& origin, time_point now);
    // Requests of the class that wait in this instance.
    std::size_t class_size(const std::string& request_class) const;
    // Earliest latest_start of all; the queue must not be empty.
    time_point most_urgent() const;
    // How many requests are served before a new one like that, with the
    // tenants' shares taken into account.
    double ahead_of(const request_arrived& request,
                    time_point latest_start) const;

private:
    struct position {
        unsigned priority;
        time_point latest_start;
        std::uint64_t sequence;
        request_origin origin;
    };
    struct by_priority {
        bool operator()(const position& a, const position& b) const;
    };
    struct by_urgency {
        bool operator()(const position& a, const position& b) const;
    };
    struct tenant_queue {
        std::set<position, by_priority> positions;
        std::set<position, request_queue::by_urgency> by_urgency; // the same
        std::map<unsigned, std::size_t> sizes;                    // by priority
        double served = 0; // requests served, divided by the weight
        double weight = 1;
        bool named = false; // by the file; others are forgotten when empty

        // Requests that go before a new one of that priority.
        double before(unsigned priority) const;
    };
    struct stored {
        queued_request entry;
        position place;
    };

    queued_request take(request_origin origin);
    tenant_queue& queue_of(const std::string& tenant_name);
    void insert(queued_request entry);
    void leave_class(const queued_request& entry);
    std::map<std::string, tenant_queue>::iterator
    next_tenant(bool whatever_priority);
    double active_weight() const;

    unsigned fairness_window_;
    unsigned any_priority_every_;
    std::uint64_t taken_ = 0;
    std::uint64_t next_sequence_ = 0;
    double served_floor_ = 0; // what a tenant that was idle starts from
    std::map<std::string, tenant_queue> tenants_;
    std::set<position, by_urgency> by_urgency_;
    std::map<request_origin, stored> entries_;
    std::unordered_map<std::string, std::size_t> class_sizes_;
};

} // namespace waxwingvale::decision
