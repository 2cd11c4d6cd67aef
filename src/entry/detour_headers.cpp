#include "entry/detour_headers.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <sstream>
#include <strings.h>
#include <vector>

#include "io/link_authentication.hpp"

namespace waxwingvale::entry {

namespace {

constexpr const char* request_header = "Waxwing-Detour";
constexpr const char* outcome_header = "Waxwing-Detour-Outcome";
constexpr const char* token_text = "requests of partitioned instances";

struct outcome_name {
    detour_outcome outcome;
    const char* name;
};

constexpr std::array<outcome_name, 4> outcome_names{
    {{detour_outcome::ran, "ran"},
     {detour_outcome::unknown, "unknown"},
     {detour_outcome::not_run, "not-run"},
     {detour_outcome::not_taken, "not-taken"}}};

// Takes out the first header of that name.
std::optional<std::string> take_header(io::http_headers& from,
                                       const char* name) {
    const auto found =
        std::find_if(from.begin(), from.end(), [&](const auto& each) {
            return strcasecmp(each.name.c_str(), name) == 0;
        });
    if (found == from.end()) {
        return std::nullopt;
    }
    auto value = std::move(found->value);
    from.erase(found);
    return value;
}

error not_of_a_peer(const std::string& detail) {
    return {error_code::refused, "take detoured request", "", detail};
}

} // namespace

detour_outcome to_detour_outcome(run_outcome outcome) {
    switch (outcome) {
    case run_outcome::ran:
        return detour_outcome::ran;
    case run_outcome::not_run:
        return detour_outcome::not_run;
    case run_outcome::unknown:
        return detour_outcome::unknown;
    }
    return detour_outcome::unknown;
}

run_outcome to_run_outcome(detour_outcome outcome) {
    switch (outcome) {
    case detour_outcome::ran:
        return run_outcome::ran;
    case detour_outcome::unknown:
        return run_outcome::unknown;
    case detour_outcome::not_run:
    case detour_outcome::not_taken:
        return run_outcome::not_run;
    }
    return run_outcome::unknown;
}

std::string detour_token(const std::string& shared_key) {
    const std::string text = token_text;
    const std::vector<std::uint8_t> bytes(text.begin(), text.end());
    const auto tag = io::link_tag(shared_key, bytes.data(), bytes.size());
    constexpr const char* digits = "0123456789abcdef";
    std::string written;
    for (const auto each : tag) {
        const auto byte = static_cast<unsigned char>(each);
        written += digits[byte >> 4U];
        written += digits[byte & 15U];
    }
    return written;
}

void add_detour_header(io::http_headers& to, const detour_request& request,
                       const std::string& token) {
    std::ostringstream value;
    value << token << ' ' << request.from << ' ' << request.attempts_before
          << ' ' << (request.may_have_run ? 1 : 0) << ' '
          << request.time_left.count();
    to.insert(to.begin(), {request_header, value.str()});
}

result<detour_request> take_detour_header(io::http_headers& from,
                                          const std::string& token) {
    const auto value = take_header(from, request_header);
    if (!value) {
        return not_of_a_peer("no detour header");
    }
    std::istringstream text(*value);
    std::string shown;
    detour_request read;
    int may_have_run = 0;
    duration::rep left = 0;
    text >> shown >> read.from >> read.attempts_before >> may_have_run >> left;
    if (!text || left < 0) {
        return not_of_a_peer("the detour header does not parse");
    }
    if (!io::same_secret(shown, token)) {
        return not_of_a_peer("the detour header is of no peer");
    }
    read.may_have_run = may_have_run != 0;
    read.time_left = duration(left);
    return read;
}

void add_outcome_header(io::http_headers& to, detour_outcome outcome) {
    const auto found = std::find_if(
        outcome_names.begin(), outcome_names.end(),
        [&](const outcome_name& each) { return each.outcome == outcome; });
    to.insert(to.begin(), {outcome_header, found->name});
}

std::optional<detour_outcome> take_outcome_header(io::http_headers& from) {
    const auto value = take_header(from, outcome_header);
    const auto found = std::find_if(
        outcome_names.begin(), outcome_names.end(),
        [&](const outcome_name& each) { return value && *value == each.name; });
    return found == outcome_names.end() ? std::nullopt
                                        : std::optional(found->outcome);
}

} // namespace waxwingvale::entry
