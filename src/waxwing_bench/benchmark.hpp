#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace waxwingvale::bench {

// How much is done, and how often.
struct bench_size {
    std::size_t keys = 100000;      // remembered at once
    std::size_t answer_bytes = 300; // body of each answer
    unsigned rounds = 5;            // the median of these counts
};

// One measured slope.
struct measurement {
    std::string what;
    std::string unit;
    double value = 0;
    double baseline = 0; // the same unit in the same run; 0: none
};

// Processor time of `work` in nanoseconds for each of `times`, the median of
// that many rounds. `prepare` runs before each round and is not counted.
double median_ns(unsigned rounds, std::size_t times,
                 const std::function<void()>& prepare,
                 const std::function<void()>& work);

// Bytes on the heap at present, as the C library counts them.
std::size_t heap_bytes();

// A table for people, one line for each measurement.
std::string table_of(const std::vector<measurement>& measured);

} // namespace waxwingvale::bench
