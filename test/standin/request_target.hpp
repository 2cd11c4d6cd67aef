#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace waxwingvale::standin {

// The path and query of a request. Values are taken as they stand, without
// percent-decoding: stand-ins are commanded with plain words and numbers.
class request_target {
public:
    explicit request_target(const std::string& target);

    const std::string& path() const { return path_; }
    bool has(const std::string& name) const;
    // The named value, or the fallback when it is absent or not a number.
    std::string text(const std::string& name,
                     const std::string& fallback) const;
    std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
    double real(const std::string& name, double fallback) const;

private:
    std::string path_;
    std::map<std::string, std::string> query_;
};

} // namespace waxwingvale::standin
