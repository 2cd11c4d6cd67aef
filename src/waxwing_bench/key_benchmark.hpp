#pragma once

#include <vector>

#include "waxwing_bench/benchmark.hpp"

namespace waxwingvale::bench {

// What request keys cost: memory for each that is remembered, and processor
// time for each step, against a plain map from key to answer.
std::vector<measurement> measure_keys(const bench_size& size);

} // namespace waxwingvale::bench
