#include "waxwing_bench/benchmark.hpp"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <malloc.h>
#include <sstream>

namespace waxwingvale::bench {
namespace {

double processor_ns() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    constexpr double ns_per_second = 1e9;
    return static_cast<double>(used.tv_sec) * ns_per_second +
           static_cast<double>(used.tv_nsec);
}

} // namespace

double median_ns(unsigned rounds, std::size_t times,
                 const std::function<void()>& prepare,
                 const std::function<void()>& work) {
    std::vector<double> each;
    for (unsigned round = 0; round < rounds; ++round) {
        prepare();
        const auto began = processor_ns();
        work();
        each.push_back((processor_ns() - began) / static_cast<double>(times));
    }
    std::sort(each.begin(), each.end());
    return each[each.size() / 2];
}

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string table_of(const std::vector<measurement>& measured) {
    std::ostringstream text;
    text << std::fixed;
    for (const auto& one : measured) {
        text << std::left << std::setw(40) << one.what << std::right
             << std::setw(10) << std::setprecision(1) << one.value << ' '
             << std::left << std::setw(10) << one.unit;
        if (one.baseline > 0) {
            text << std::setprecision(2) << one.value / one.baseline
                 << " times the plain map";
        }
        text << '\n';
    }
    return text.str();
}

} // namespace waxwingvale::bench
