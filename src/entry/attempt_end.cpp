#include <waxwingvale/entry/backend_answer.hpp>

namespace waxwingvale::entry {

const char* to_string(attempt_end end) {
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::failed:
        return "failed";
    case attempt_end::not_started:
        return "not-started";
    case attempt_end::refused_unproven:
        return "refused-unproven";
    case attempt_end::not_sent:
        return "not-sent";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::timed_out:
        return "timed-out";
    case attempt_end::broken:
        return "broken";
    case attempt_end::held_back:
        return "held-back";
    case attempt_end::misdirected:
        return "misdirected";
    }
    return "broken";
}

std::optional<backend_state> state_for_all(const backend_answer& answer) {
    if (answer.sign == decision::server_sign::not_listening) {
        return backend_state::dead;
    }
    const bool leaves = answer.terms && answer.terms->leaving;
    return leaves ? backend_state::leaving : answer.state;
}

} // namespace waxwingvale::entry
