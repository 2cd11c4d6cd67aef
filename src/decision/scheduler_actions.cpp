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
    case refusal_reason::retry_budget:
        return "retry-budget";
    }
    return "too-late";
}

bool operator==(const start_request& a, const start_request& b) {
    return std::tie(a.request, a.backend_server, a.from_peer, a.grant,
                    a.slow_after) == std::tie(b.request, b.backend_server,
                                              b.from_peer, b.grant,
                                              b.slow_after);
}

bool operator==(const refuse_request& a, const refuse_request& b) {
    return std::tie(a.request, a.reason, a.retry_after, a.declined_by) ==
           std::tie(b.request, b.reason, b.retry_after, b.declined_by);
}

bool operator==(const expire_request& a, const expire_request& b) {
    return a.request == b.request;
}

bool operator==(const ask_slots& a, const ask_slots& b) {
    return std::tie(a.peer, a.waiting, a.withdrawn, a.complete) ==
           std::tie(b.peer, b.waiting, b.withdrawn, b.complete);
}

bool operator==(const answer_ask& a, const answer_ask& b) {
    return std::tie(a.peer, a.idle, a.is_owner, a.declined) ==
           std::tie(b.peer, b.idle, b.is_owner, b.declined);
}

bool operator==(const give_grant& a, const give_grant& b) {
    return std::tie(a.peer, a.grant, a.request, a.backend_server, a.lease,
                    a.slow_after) == std::tie(b.peer, b.grant, b.request,
                                              b.backend_server, b.lease,
                                              b.slow_after);
}

bool operator==(const return_grant& a, const return_grant& b) {
    return std::tie(a.peer, a.grant, a.use) == std::tie(b.peer, b.grant, b.use);
}

bool operator==(const ask_repeats& a, const ask_repeats& b) {
    return std::tie(a.peer, a.round, a.wanted) ==
           std::tie(b.peer, b.round, b.wanted);
}

bool operator==(const give_repeats& a, const give_repeats& b) {
    return std::tie(a.peer, a.round, a.amount) ==
           std::tie(b.peer, b.round, b.amount);
}

bool operator==(const wake_at& a, const wake_at& b) {
    return a.when == b.when;
}

} // namespace waxwingvale::decision
