#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <waxwingvale/membership/publication_stamp.hpp>

namespace waxwingvale::control {

// What was published and could not be read. Each is told once, however often it
// is read again: a writer gone wrong must not fill the log.
class unreadable_items {
public:
    // Whether that item is to be told of, in that state.
    bool note(const std::string& key,
              const membership::publication_stamp& stamp);

    // How often one was read, since the start.
    std::uint64_t seen() const { return seen_; }

private:
    // Items that are told of; of more, only the number is.
    static constexpr std::size_t most_told = 64;

    std::map<std::string, membership::publication_stamp> told_; // by key
    std::uint64_t seen_ = 0;
};

} // namespace waxwingvale::control
