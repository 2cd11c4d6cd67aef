#include <waxwingvale/decision/stable_hash.hpp>

#include <cmath>

namespace waxwingvale::decision {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t finalize(std::uint64_t value) {
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31;
    return value;
}

} // namespace

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    std::uint64_t hash = fnv_offset ^ seed;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return finalize(hash);
}

std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    return finalize(first * golden_ratio + second);
}

double unit_interval(std::uint64_t hash) {
    constexpr double steps = 9007199254740992.0; // 2^53, a double's precision
    return (static_cast<double>(hash >> 11) + 0.5) / steps;
}

double rendezvous_score(std::uint64_t hash, double weight) {
    return weight / -std::log(unit_interval(hash));
}

} // namespace waxwingvale::decision
