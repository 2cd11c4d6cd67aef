#pragma once

#include <string>

#include <waxwingvale/io/http_client.hpp>

namespace waxwingvale::platform {

// What callers got of one kind of request.
struct answer_counts {
    unsigned served = 0;     // within the time that the caller has
    unsigned late = 0;       // served, but later
    unsigned refused = 0;    // 503
    unsigned not_known = 0;  // there is no such route, or none is known yet
    unsigned unanswered = 0; // no answer
    unsigned other = 0;

    unsigned all() const;
    double served_share() const;
    void add(const answer_counts& more);
    // Counts one answer, or the lack of one.
    void add(const io::http_call_result& ended, bool in_time);
};

// What callers got of one instance.
struct caller_results {
    answer_counts first; // reads on routes of the first configuration
    answer_counts added; // on routes added long enough before
    answer_counts moved; // on routes moved to another service as long before
    answer_counts bookings;
    duration oldest_route{}; // time since the change of a route not known
    // Runs by the service that a route led to before it was moved.
    unsigned run_by_former = 0;

    // Of the reads, and of all requests.
    double served_reads() const;
    double served_share() const;
    // How often added routes are served for each time that a first one is.
    double added_by_first() const;
    // Routes that were changed `in_force_within` before and are not known.
    unsigned late_routes() const { return added.not_known; }
    void add(const caller_results& more);
};

std::string to_string(const caller_results& results);

} // namespace waxwingvale::platform
