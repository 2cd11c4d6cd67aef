// The part of call_desk that deals with what request keys decide.

#include <utility>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

namespace {

io::http_response replayed(const decision::whole_answer& kept) {
    io::http_response answer;
    answer.status = kept.status;
    for (const auto& header : kept.headers) {
        answer.headers.push_back({header.name, header.value});
    }
    answer.body = kept.body;
    return answer;
}

} // namespace

// What each decision of the key store means for the call that waits.
struct call_desk::settle_call {
    call_desk& desk;
    call_record& call;

    void own(unsigned status, run_outcome outcome, const char* reason,
             std::optional<duration> retry_after = std::nullopt,
             std::string detail = {}) const {
        desk.finish(call.id,
                    {status, outcome, reason, std::move(detail), retry_after});
    }

    void operator()(const decision::run_here& run) const {
        call.key->attempt = run.attempt;
        desk.queue_attempt(call);
    }
    void operator()(const decision::join_attempt&) const {}
    void operator()(const decision::ask_peer&) const {}
    void operator()(const decision::replay_answer& replay) const {
        desk.finish(call.id, run_outcome::ran, replayed(*replay.answer));
    }
    void operator()(const decision::report_ran&) const {
        own(status::conflict, run_outcome::ran, "answer-not-kept");
    }
    void operator()(const decision::report_unknown& report) const {
        own(status::gateway_timeout, run_outcome::unknown, "outcome-unknown",
            report.retry_after);
    }
    void operator()(const decision::report_not_run& report) const {
        own(status::service_unavailable, run_outcome::not_run,
            "attempt-not-run", report.retry_after);
    }
    void operator()(const decision::refuse_mismatch&) const {
        own(status::unprocessable, run_outcome::not_run,
            "key-of-other-request");
    }
    void operator()(const decision::refuse_full& full) const {
        own(status::service_unavailable, run_outcome::not_run, "keys-full",
            full.retry_after);
    }
    void operator()(const decision::refuse_expired&) const {
        own(status::gone, run_outcome::unknown, "key-expired");
    }
    void operator()(const decision::refuse_key_form& form) const {
        own(status::conflict, run_outcome::not_run, "key-without-holder",
            std::nullopt, "use the prefix " + form.prefix_to_use);
    }
};

void call_desk::settle(decision::waiter_id waiter,
                       const decision::key_decision& decision) {
    auto* call = find(waiter);
    if (call != nullptr) {
        std::visit(settle_call{*this, *call}, decision);
    }
}

} // namespace waxwingvale::entry
