#pragma once

#include <cstdint>

namespace waxwingvale::program {

// A number for this life of a process: microseconds of the wall clock since
// 1970. Larger than that of the life before as long as the machine's clock
// was not set back in between.
std::uint64_t fresh_incarnation();

} // namespace waxwingvale::program
