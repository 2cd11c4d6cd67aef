#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwingvale::standin {

// A value as it was published.
struct published_value {
    std::uint64_t revision = 0;
    std::string body;
};

// The values of the platform by name, with all that was published before.
class published_values {
public:
    // Publishes with the next revision, or with that given, which may also be
    // older than the last one.
    std::uint64_t put(const std::string& name, std::string body,
                      std::uint64_t revision_or_zero);
    // The value as it stood that many publications ago (0: now; at most the
    // first); null when nothing was ever published.
    const published_value* read(const std::string& name,
                                std::size_t publications_ago) const;

private:
    std::map<std::string, std::vector<published_value>> values_;
};

} // namespace waxwingvale::standin
