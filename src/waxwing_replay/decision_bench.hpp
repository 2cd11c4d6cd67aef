#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace waxwingvale::replay {

// The cost of deciding on one request, from arrival to its end.
struct bench_figure {
    unsigned members = 0;
    unsigned backend_servers = 0; // of the service, 6 slots each
    unsigned owned_slots = 0;     // by the instance that is measured
    double steady_us = 0;         // 70% of the slots in use, nothing waits
    double queued_us = 0;         // all slots in use, 200 requests wait
    // The same for requests with a target, of servers that tell their load.
    double timely_us = 0;
    double timely_queued_us = 0;
};

// Measures the instance that owns the most slots, with the wall clock, over
// that many requests.
bench_figure measure_decision_cost(unsigned members, unsigned backend_servers,
                                   std::uint64_t requests);

// The sizes of docs/design/slots-and-admission.md.
std::vector<bench_figure> measure_all_sizes(std::uint64_t requests);

void print_bench(std::ostream& out, const std::vector<bench_figure>& figures);

} // namespace waxwingvale::replay
