#include <waxwingvale/program/incarnation.hpp>

#include <chrono>

namespace waxwingvale::program {

std::uint64_t fresh_incarnation() {
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count());
}

} // namespace waxwingvale::program
