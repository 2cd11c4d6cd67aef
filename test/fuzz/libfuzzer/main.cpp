#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "fuzz/fuzz_target.hpp"

// libFuzzer's way in. The target is named by WAXWING_FUZZ_TARGET; tools/fuzz
// sets it, and with WAXWING_FUZZ_SEEDS the folder that gets the seeds.
namespace {

const char* from_environment(const char* name) {
    const auto* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

const fuzz_target& chosen() {
    static const fuzz_target& target =
        find_fuzz_target(from_environment("WAXWING_FUZZ_TARGET"));
    return target;
}

} // namespace

// The names are the fuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize(int*, char***) {
    const std::string folder = from_environment("WAXWING_FUZZ_SEEDS");
    int number = 0;
    for (const auto& seed : chosen().seeds()) {
        std::ofstream(folder + "/seed-" + std::to_string(number++)) << seed;
    }
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    chosen().run(std::string(reinterpret_cast<const char*>(data), size));
    return 0;
}
