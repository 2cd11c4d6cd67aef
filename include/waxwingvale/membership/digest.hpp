#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>

namespace waxwingvale::membership {

// Two tables that differ are compared by one number for each bucket of their
// names, so that a difference in one record costs the records of one bucket and
// not the whole table.
constexpr std::size_t bucket_count = 64;
using digest_buckets = std::array<std::uint64_t, bucket_count>;
using bucket_set = std::bitset<bucket_count>;

// The bucket that a name falls into, the same in every process.
unsigned bucket_of(const std::string& name);

} // namespace waxwingvale::membership
