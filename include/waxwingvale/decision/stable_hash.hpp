#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingvale::decision {

// A 64-bit hash that is the same in every process, build and release: FNV-1a
// over the bytes, then the finalizer of SplitMix64, both with their published
// constants. Instances must agree on owners without talking, so a hash that a
// library may change between versions (std::hash, boost::hash) would split
// the fleet during an upgrade.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes into one; the order matters.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

// The hash as a number in (0, 1), never the ends.
double unit_interval(std::uint64_t hash);

// The rendezvous score of a candidate with that weight: the candidate with
// the highest score wins, in proportion to weights, and a change of one weight
// moves only keys to or from that candidate. Source: Schindelhauer and
// Schomaker, "Weighted distributed hash tables", 2005.
double rendezvous_score(std::uint64_t hash, double weight);

} // namespace waxwingvale::decision
