#include <waxwingvale/forwarding/request_end.hpp>

namespace waxwingvale::forwarding {

ended_by party_of(request_end end) {
    switch (end) {
    case request_end::answered:
        return ended_by::nobody;
    case request_end::caller_left:
    case request_end::caller_silent:
    case request_end::body_refused:
    case request_end::sent_too_late:
    case request_end::deadline_cut:
        return ended_by::caller;
    case request_end::server_cut:
        return ended_by::backend_server;
    case request_end::closing:
    case request_end::memory_short:
    case request_end::stopped:
        return ended_by::instance;
    }
    return ended_by::instance;
}

const char* to_string(request_end end) {
    switch (end) {
    case request_end::answered:
        return "answered";
    case request_end::caller_left:
        return "caller-left";
    case request_end::caller_silent:
        return "caller-silent";
    case request_end::body_refused:
        return "body-refused";
    case request_end::sent_too_late:
        return "sent-too-late";
    case request_end::server_cut:
        return "server-cut";
    case request_end::deadline_cut:
        return "deadline-cut";
    case request_end::closing:
        return "closing";
    case request_end::memory_short:
        return "memory-short";
    case request_end::stopped:
        return "stopped";
    }
    return "unknown";
}

const char* to_string(ended_by party) {
    switch (party) {
    case ended_by::nobody:
        return "nobody";
    case ended_by::caller:
        return "caller";
    case ended_by::backend_server:
        return "backend-server";
    case ended_by::instance:
        return "instance";
    }
    return "unknown";
}

} // namespace waxwingvale::forwarding
