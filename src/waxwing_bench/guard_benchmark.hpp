#pragma once

#include <vector>

#include "waxwing_bench/benchmark.hpp"

namespace waxwingvale::bench {

// What the decisions beside the scheduler cost for each request: fingerprint,
// quarantine, retries, hedges and the probe budget.
std::vector<measurement> measure_guards(const bench_size& size);

} // namespace waxwingvale::bench
