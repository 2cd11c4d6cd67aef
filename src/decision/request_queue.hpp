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

// Identifies a queued request by the instance that received it and its number
// on that instance.
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

struct queued_request {
    request_arrived arrival;
    time_point arrived_at{};
    time_point latest_start{}; // starting it later is useless
    std::string peer;          // that received it; empty: this instance
    // When the peer last confirmed that the request is still queued there.
    time_point last_confirmed_at{};
    // Of a repeated attempt: whether it is paid for, and until when it waits
    // for its payment.
    bool repeat_paid = false;
    time_point pay_by{};

    request_origin origin() const { return {peer, arrival.request}; }
};

// Requests that wait for a slot. They are taken by priority and, within a
// priority, by urgency (earliest latest_start first). Two rules limit this: no
// tenant is served more than a window of requests ahead of its share, so that a
// flood from one tenant does not take the slots of the others; and one in every
// few requests is taken by urgency alone, so that no priority starves.
class request_queue {
public:
    // `fairness_window`: how many requests a tenant may be served ahead of its
    // share. `urgency_only_interval`: one in this many requests is taken by
    // urgency alone; 0: none.
    request_queue(unsigned fairness_window, unsigned urgency_only_interval);

    // Sets the weights of tenants. Tenants not listed have weight 1.
    void set_tenants(const std::vector<tenant>& tenants);

    void push(queued_request entry);
    // Takes the next request. The queue must not be empty.
    queued_request pop();
    // Undoes a pop() that returned this request.
    void restore(queued_request entry);
    // Takes a request whose latest_start is not after `now`.
    std::optional<queued_request> pop_overdue(time_point now);
    std::optional<queued_request> remove(const request_origin& origin);
    // Removes the requests of the peer except those listed.
    void retain(const std::string& peer, const std::set<request_id>& kept);

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    bool contains(const request_origin& origin) const;
    const queued_request* find(const request_origin& origin) const;
    // Records that the peer confirmed that the request is still queued there.
    void confirm(const request_origin& origin, time_point now);
    // Number of queued requests of the class that this instance received.
    std::size_t class_size(const std::string& request_class) const;
    // Earliest latest_start in the queue. The queue must not be empty.
    time_point earliest_latest_start() const;
    // Estimates how many requests would be served before the given new one,
    // taking the shares of tenants into account.
    double requests_ahead_of(const request_arrived& request,
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
        // The same positions, ordered by urgency alone.
        std::set<position, request_queue::by_urgency> by_urgency;
        std::map<unsigned, std::size_t> sizes; // by priority
        double served = 0; // requests served, divided by the weight
        double weight = 1;
        // Whether the configuration lists the tenant; queues of other tenants
        // are removed when they become empty.
        bool configured = false;

        // Number of requests that a new one of this priority would wait for.
        double requests_before(unsigned priority) const;
    };
    struct stored_request {
        queued_request entry;
        position queue_position;
    };

    queued_request take(request_origin origin);
    tenant_queue& queue_of(const std::string& tenant_name);
    void insert(queued_request entry);
    void decrement_class_size(const queued_request& entry);
    std::map<std::string, tenant_queue>::iterator
    next_tenant(bool ignore_priority);
    double active_weight() const;

    unsigned fairness_window_;
    unsigned urgency_only_interval_;
    std::uint64_t pop_count_ = 0;
    std::uint64_t next_sequence_ = 0;
    double served_floor_ = 0; // `served` of a tenant that was idle so far
    std::map<std::string, tenant_queue> tenants_;
    std::set<position, by_urgency> by_urgency_;
    std::map<request_origin, stored_request> entries_;
    std::unordered_map<std::string, std::size_t> class_sizes_;
};

} // namespace waxwingvale::decision
