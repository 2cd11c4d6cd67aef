#include "standin/program_frame.hpp"

#include <cstdio>
#include <cstdlib>
#include <sys/resource.h>

namespace waxwingvale::standin {

arguments read_arguments(const char* usage, int count, char** words) {
    const rlimit none{0, 0};
    setrlimit(RLIMIT_CORE, &none);
    return docopt::docopt(usage, {words + 1, words + count});
}

std::uint64_t number(const arguments& given, const std::string& option) {
    return std::strtoull(given.at(option).asString().c_str(), nullptr, 10);
}

double real(const arguments& given, const std::string& option) {
    return std::strtod(given.at(option).asString().c_str(), nullptr);
}

void print_ready(const nlohmann::json& line) {
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

} // namespace waxwingvale::standin
