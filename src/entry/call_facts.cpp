#include "entry/call_facts.hpp"

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

// A request that became no call, and so has no story.
void log_unnamed(const io::http_request& request, const char* event,
                 const view* by, const std::string& detail) {
    auto facts = fact("peer", request.peer) + " " +
                 fact("path", request.target) + " " +
                 fact("revision", by == nullptr ? 0 : by->config->revision);
    if (by != nullptr) {
        facts += " " + fact("standing", std::string(to_string(by->standing)));
    }
    program::log_details(facts, {{event, {}, fact("error", detail)}});
}

// What decides what becomes of a call, and which configuration says so.
std::string taken_facts(const call_record& call, const view& known,
                        time_point now) {
    auto facts = fact("class", call.labels.request_class) + " " +
                 fact("service", call.labels.service) + " " +
                 fact("path", call.content.target) + " " +
                 fact("revision", known.config->revision) + " " +
                 fact("time_left_ms", call.deadline - call.arrived);
    if (now - call.arrived >= std::chrono::milliseconds(1)) {
        facts += " " + fact("held_ms", now - call.arrived);
    }
    if (!call.detoured_for.empty()) {
        facts += " " + fact("detour_from", call.detoured_for);
    }
    if (call.target) {
        facts += " " + fact("target_left_ms", *call.target - call.arrived);
    }
    return facts;
}

std::string refused_facts(const decision::refuse_request& refusal,
                          std::size_t queued) {
    auto facts =
        fact("reason", to_string(refusal.reason)) + " " +
        fact("queued", queued) + " " +
        fact("declined_by",
             refusal.declined_by.empty() ? "self" : refusal.declined_by) +
        " " + fact("come_back_ms", refusal.retry_after);
    if (refusal.expected_time > duration::zero()) {
        facts += " " + fact("expected_ms", refusal.expected_time);
    }
    return facts;
}

std::string answered_facts(const call_record& call, run_outcome outcome,
                           unsigned status) {
    return fact("status", status) + " " + fact("outcome", to_string(outcome)) +
           " " + fact("attempts", call.attempts_here);
}

// What the call waited for when its caller left.
std::string left_facts(const call_record& call) {
    const bool for_key = call.key && call.key->attempt == 0;
    const char* what = call.answering                ? "rest-of-answer"
                       : call.running || call.detour ? "answer"
                       : call.waits_for_check        ? "check"
                       : for_key                     ? "key"
                                                     : "slot";
    return fact("waited_for", what);
}

// Whose slot it is tells which instance chose the server.
std::string placed_facts(const running_attempt& attempt, bool second_copy) {
    return fact("backend_server", attempt.backend_server) + " " +
           fact("slot_of",
                attempt.granted_by.empty() ? "self" : attempt.granted_by) +
           " " + fact("slow_after_ms", attempt.slow_after) +
           (second_copy ? " second_copy=yes" : "");
}

std::string ended_facts(const running_attempt& attempt,
                        const backend_answer& answer, duration took) {
    auto facts = fact("backend_server", attempt.backend_server) + " " +
                 fact("end", to_string(answer.end)) + " " +
                 fact("outcome", to_string(answer.outcome)) + " " +
                 fact("took_ms", took);
    if (answer.load) {
        facts += " " + fact("running", answer.load->running) + " " +
                 fact("waiting", answer.load->waiting);
    }
    if (answer.terms && answer.terms->requests_per_second) {
        facts += " " + fact("limit_per_s",
                            std::to_string(*answer.terms->requests_per_second));
    }
    if (answer.terms && answer.terms->leaving) {
        facts += " leaving=yes";
    }
    if (answer.terms && answer.terms->rest) {
        facts += " " + fact("rest_ms", *answer.terms->rest);
    }
    return facts;
}

} // namespace waxwingvale::entry
