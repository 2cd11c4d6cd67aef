#include "standin/body_digest.hpp"

#include <cstdint>
#include <cstdio>

namespace waxwingvale::standin {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t add(std::uint64_t digest, const std::string& text) {
    for (const unsigned char c : text) {
        digest = (digest ^ c) * fnv_prime;
    }
    return digest;
}

} // namespace

std::string body_digest(const std::string& target, const std::string& body) {
    const auto digest = add(add(add(fnv_offset, target), "\n"), body);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(digest));
    return text;
}

} // namespace waxwingvale::standin
