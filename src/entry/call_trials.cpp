// The part of call_desk that deals with requests suspected of crashing backend
// servers, and with their trials.

#include <utility>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

decision::request_fingerprint
call_desk::crash_fingerprint(const call_record& call) {
    std::vector<decision::fingerprint_header> headers;
    for (const auto& header : call.content.headers) {
        headers.push_back({header.name, header.value});
    }
    static const std::string no_body;
    return decision::crash_fingerprint_of(
        call.labels.service, call.content.method, call.content.target,
        call.content.body ? *call.content.body : no_body, headers);
}

// Applies the decision of the quarantine on a request. Each operator returns
// whether the attempt is to be queued.
struct call_desk::admit_suspect {
    call_desk& desk;
    call_record& call;

    bool operator()(const decision::run_normally&) const { return true; }
    bool operator()(const decision::run_alone& run) const {
        call.alone = true;
        call.excluded.push_back(run.avoid);
        return true;
    }
    bool operator()(const decision::refuse_suspect& refusal) const {
        own_answer answer;
        answer.reason = "suspected-of-crashing";
        answer.retry_after = refusal.retry_after;
        desk.finish(call.id, answer);
        return false;
    }
    bool operator()(const decision::refuse_quarantined&) const {
        own_answer answer;
        answer.status = status::unprocessable;
        answer.reason = "crashes-backend-servers";
        desk.finish(call.id, answer);
        return false;
    }
};

bool call_desk::pass_crash_guard(call_record& call) {
    return std::visit(admit_suspect{*this, call},
                      crashes_.admit(crash_fingerprint(call)));
}

// Ends the trial of a suspect, whatever became of it. A trial that was refused
// before it was sent has no result; if it did not end, every later copy of the
// request would be refused until the suspicion expires.
void call_desk::end_trial(call_record& call) {
    if (call.alone) {
        call.alone = false;
        crashes_.on_trial_abandoned(crash_fingerprint(call));
    }
}

// A connection broke while a request was in flight. Every request in flight on
// that backend server may be the one that crashed it, and becomes a suspect.
void call_desk::report_death(const running_attempt& lost) {
    if (!crashes_.is_news(lost.backend_server, lost.incarnation)) {
        return;
    }
    std::vector<decision::request_fingerprint> in_flight;
    const auto runs_there = [&](const std::optional<running_attempt>& one) {
        return one && one->backend_server == lost.backend_server &&
               one->incarnation == lost.incarnation;
    };
    for (const auto& entry : calls_) {
        if (runs_there(entry.second.running) ||
            runs_there(entry.second.hedge)) {
            in_flight.push_back(crash_fingerprint(entry.second));
        }
    }
    crashes_.on_died(lost.backend_server, lost.incarnation, in_flight);
}

} // namespace waxwingvale::entry
