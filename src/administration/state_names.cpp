#include "administration/state_names.hpp"

#include <cinttypes>
#include <cstdio>

namespace waxwingvale::administration {

const char* to_string(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::gone:
        return "gone";
    }
    return "unknown";
}

const char* to_string(backend_state state) {
    switch (state) {
    case backend_state::serving:
        return "serving";
    case backend_state::leaving:
        return "leaving";
    case backend_state::dead:
        return "dead";
    }
    return "unknown";
}

const char* to_string(belief_source source) {
    switch (source) {
    case belief_source::platform_list:
        return "platform list";
    case belief_source::traffic:
        return "traffic";
    case belief_source::probe:
        return "probe";
    case belief_source::peer:
        return "peer";
    }
    return "unknown";
}

const char* to_string(request_nature nature) {
    return nature == request_nature::retriable ? "retriable" : "at_most_once";
}

std::string fingerprint_text(std::uint64_t fingerprint) {
    constexpr std::size_t digits = 16;
    char text[digits + 1] = {};
    std::snprintf(text, sizeof text, "%016" PRIx64, fingerprint);
    return text;
}

} // namespace waxwingvale::administration
