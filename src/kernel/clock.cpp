#include <waxwingvale/kernel/clock.hpp>

#include <ctime>

namespace waxwingvale::kernel {

time_point monotonic_clock::now() const {
    timespec reading{};
    clock_gettime(CLOCK_MONOTONIC, &reading);
    const auto since_boot = std::chrono::seconds(reading.tv_sec) +
                            std::chrono::nanoseconds(reading.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace waxwingvale::kernel
