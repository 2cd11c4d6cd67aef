#include <waxwingvale/model/error.hpp>

namespace waxwingvale {

const char* to_string(error_code code) {
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::not_found:
        return "not_found";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timed_out:
        return "timed_out";
    case error_code::refused:
        return "refused";
    case error_code::malformed:
        return "malformed";
    case error_code::unauthenticated:
        return "unauthenticated";
    case error_code::resource_exhausted:
        return "resource_exhausted";
    case error_code::cancelled:
        return "cancelled";
    case error_code::stale:
        return "stale";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string to_string(const error& value) {
    std::string line = value.step;
    if (!value.peer.empty()) {
        line += " " + value.peer;
    }
    line += std::string(": ") + to_string(value.code);
    if (!value.detail.empty()) {
        line += ": " + value.detail;
    }
    return line;
}

} // namespace waxwingvale
