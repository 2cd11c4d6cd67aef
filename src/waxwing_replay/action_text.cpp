#include "waxwing_replay/action_text.hpp"

#include "waxwing_replay/trace_times.hpp"

namespace waxwingvale::replay {

namespace {

using namespace decision;

std::string text(const start_request& a) {
    return "start " + std::to_string(a.request) + ' ' + a.backend_server + ' ' +
           a.from_peer + ' ' + std::to_string(a.grant);
}

std::string text(const refuse_request& a) {
    return "refuse " + std::to_string(a.request) + ' ' + to_string(a.reason) +
           ' ' + std::to_string(count(a.retry_after));
}

std::string text(const expire_request& a) {
    return "expire " + std::to_string(a.request);
}

std::string text(const ask_slots& a) {
    std::string line = "ask " + a.peer + (a.complete ? " whole" : " more");
    for (const waiting_request& each : a.waiting) {
        line += ' ' + std::to_string(each.request) + '/' +
                std::to_string(count(each.time_left));
    }
    for (const request_id each : a.withdrawn) {
        line += " -" + std::to_string(each);
    }
    return line;
}

std::string text(const answer_ask& a) {
    std::string line = "answer " + a.peer + ' ' + std::to_string(a.idle) +
                       (a.is_owner ? " owner" : " other");
    for (const declined_request& each : a.declined) {
        line += ' ' + std::to_string(each.request) + '/' +
                std::to_string(count(each.retry_after));
    }
    return line;
}

std::string text(const give_grant& a) {
    return "give " + a.peer + ' ' + std::to_string(a.grant) + ' ' +
           std::to_string(a.request) + ' ' + a.backend_server + ' ' +
           std::to_string(count(a.lease));
}

std::string text(const return_grant& a) {
    std::string line = "return " + a.peer + ' ' + std::to_string(a.grant);
    if (!a.use) {
        return line + " unused";
    }
    return line + " used " + std::to_string(static_cast<int>(a.use->verdict)) +
           ' ' + std::to_string(count(a.use->service_time));
}

std::string text(const ask_repeats& a) {
    return "ask-repeats " + a.peer + ' ' + std::to_string(a.round) + ' ' +
           std::to_string(a.wanted);
}

std::string text(const give_repeats& a) {
    return "give-repeats " + a.peer + ' ' + std::to_string(a.round) + ' ' +
           std::to_string(a.amount);
}

std::string text(const wake_at& a) {
    return "wake " + std::to_string(count(a.when));
}

} // namespace

std::string action_text(const scheduler_action& action) {
    return std::visit([](const auto& known) { return text(known); }, action);
}

} // namespace waxwingvale::replay
