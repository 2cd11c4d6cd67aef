#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>

namespace waxwingvale::membership {

// Each table is divided into buckets by record name, and two tables are
// compared by one hash per bucket. A difference in one record then costs the
// transfer of one bucket's records instead of the whole table.
constexpr std::size_t bucket_count = 64;
using digest_buckets = std::array<std::uint64_t, bucket_count>;
using bucket_set = std::bitset<bucket_count>;

// The bucket of a record name; the same in every process.
unsigned bucket_of(const std::string& name);

} // namespace waxwingvale::membership
