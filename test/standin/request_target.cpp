#include "standin/request_target.hpp"

#include <algorithm>
#include <cstdlib>

namespace waxwingvale::standin {

namespace {

// Whether the conversion that ended at `end` used up the whole text.
bool whole_number(const std::string& text, const char* end) {
    return !text.empty() && *end == '\0';
}

} // namespace

request_target::request_target(const std::string& target) {
    const auto mark = target.find('?');
    path_ = target.substr(0, mark);
    auto begin = mark == std::string::npos ? target.size() : mark + 1;
    while (begin < target.size()) {
        const auto end = std::min(target.find('&', begin), target.size());
        const auto pair = target.substr(begin, end - begin);
        const auto equals = pair.find('=');
        query_[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
        begin = end + 1;
    }
}

bool request_target::has(const std::string& name) const {
    return query_.count(name) > 0;
}

std::string request_target::text(const std::string& name,
                                 const std::string& fallback) const {
    const auto found = query_.find(name);
    return found == query_.end() ? fallback : found->second;
}

std::uint64_t request_target::number(const std::string& name,
                                     std::uint64_t fallback) const {
    const auto value = text(name, "");
    char* end = nullptr;
    const auto parsed = std::strtoull(value.c_str(), &end, 10);
    return whole_number(value, end) ? parsed : fallback;
}

double request_target::real(const std::string& name, double fallback) const {
    const auto value = text(name, "");
    char* end = nullptr;
    const auto parsed = std::strtod(value.c_str(), &end);
    return whole_number(value, end) ? parsed : fallback;
}

} // namespace waxwingvale::standin
