#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingvale::decision {

// Returns a 64-bit hash that is the same in every process, build and release:
// FNV-1a over the bytes, then the finalizer of SplitMix64, both with their
// published constants. Entry instances must agree on owners without
// communicating. A hash that a library may change between versions (std::hash,
// boost::hash) would make them disagree during an upgrade.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes into one. The order of the arguments matters.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

// Maps a hash to a number between 0 and 1, both excluded.
double unit_interval(std::uint64_t hash);

// Returns the score of a candidate for weighted rendezvous hashing. A key is
// assigned to the candidate with the highest score, so that each candidate gets
// keys in proportion to its weight, and a change of one weight moves only keys
// to or from that candidate. Source: Schindelhauer and Schomaker, "Weighted
// distributed hash tables", 2005.
double rendezvous_score(std::uint64_t hash, double weight);

} // namespace waxwingvale::decision
