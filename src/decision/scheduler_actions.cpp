#include <waxwingvale/decision/scheduler_actions.hpp>

#include <tuple>

namespace waxwingvale::decision {

const char* to_string(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::no_backend_server:
        return "no-backend-server";
    case refusal_reason::queue_full:
        return "queue-full";
    case refusal_reason::too_late:
        return "too-late";
    case refusal_reason::stale_view:
        return "stale-view";
    case refusal_reason::no_spare_slot:
        return "no-spare-slot";
    }
    return "too-late";
}

bool operator==(const start_request& a, const start_request& b) {
    return std::tie(a.request, a.backend_server, a.from_peer, a.grant) ==
           std::tie(b.request, b.backend_server, b.from_peer, b.grant);
}

bool operator==(const refuse_request& a, const refuse_request& b) {
    return std::tie(a.request, a.reason, a.come_back_in) ==
           std::tie(b.request, b.reason, b.come_back_in);
}

bool operator==(const expire_request& a, const expire_request& b) {
    return a.request == b.request;
}

bool operator==(const ask_grants& a, const ask_grants& b) {
    return std::tie(a.peer, a.count, a.urgency) ==
           std::tie(b.peer, b.count, b.urgency);
}

bool operator==(const answer_ask& a, const answer_ask& b) {
    return std::tie(a.peer, a.idle, a.declined, a.come_back_in,
                    a.come_back_interval) ==
           std::tie(b.peer, b.idle, b.declined, b.come_back_in,
                    b.come_back_interval);
}

bool operator==(const give_grant& a, const give_grant& b) {
    return std::tie(a.peer, a.grant, a.backend_server, a.lease) ==
           std::tie(b.peer, b.grant, b.backend_server, b.lease);
}

bool operator==(const return_grant& a, const return_grant& b) {
    return std::tie(a.peer, a.grant, a.unused, a.verdict, a.request_class,
                    a.service_time) == std::tie(b.peer, b.grant, b.unused,
                                                b.verdict, b.request_class,
                                                b.service_time);
}

bool operator==(const wake_at& a, const wake_at& b) {
    return a.when == b.when;
}

} // namespace waxwingvale::decision
