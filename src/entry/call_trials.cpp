// The part of call_desk that deals with requests suspected of crashing backend
// servers, and with their trials.

#include <utility>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

copy_fingerprints call_desk::crash_fingerprints(const call_record& call) const {
    decision::copy_identity identity;
    identity.authority = call.content.authority;
    identity.tenant = call.labels.tenant;
    identity.method = call.content.method;
    identity.target = call.content.target;
    if (call.content.body) {
        identity.body = *call.content.body;
    }
    for (const auto& header : call.content.headers) {
        if (!protocol_.is_of_one_attempt(header.name)) {
            identity.headers.push_back({header.name, header.value});
        }
    }
    return fingerprints_of(identity);
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
                      crashes_.admit(crash_fingerprints(call)));
}

// Ends the trial of a suspect, whatever became of it. A trial that was refused
// before it was sent has no result; if it did not end, every later copy of the
// request would be refused until the suspicion expires.
void call_desk::end_trial(call_record& call) {
    if (call.alone) {
        call.alone = false;
        crashes_.on_trial_abandoned(crash_fingerprints(call));
    }
}

// What the end of an attempt shows of its server, and so of the request.
void call_desk::report_signs(const call_record& call,
                             const running_attempt& attempt,
                             const backend_answer& answer) {
    const attempt_sign shown{attempt.backend_server, attempt.incarnation,
                             attempt.started, answer};
    if (crash_guard::may_be_lost(answer)) {
        crashes_.on_lost(crash_fingerprints(call), shown, call.alone);
    }
    crashes_.on_sign(shown);
    // A server that fails may do so before it runs what would end it.
    if (answer.end == attempt_end::answered && crashes_.wants_pass()) {
        crashes_.on_passed(crash_fingerprints(call), attempt.started);
    }
}

// While no server answers anybody, what is lost shows nothing. But a check may
// find servers that answer again, and then it does: else each instance would
// lose one more server to the request, and each trial another.
void call_desk::report_loss_when_checked(const call_record& call,
                                         const running_attempt& attempt,
                                         const backend_answer& answer) {
    if (!crash_guard::may_be_lost(answer)) {
        return;
    }
    const auto report = [this, of = crash_fingerprints(call), attempt, answer,
                         alone = call.alone](decision::failure_meaning known) {
        if (known == decision::failure_meaning::of_server) {
            crashes_.on_lost(of,
                             {attempt.backend_server, attempt.incarnation,
                              attempt.started, answer},
                             alone);
        }
    };
    const bool taken_since = attempt.started > reach_.check_began();
    reach_.when_checked({call.alone, taken_since, report});
}

// Nobody waits any longer for an attempt that is on its way.
void call_desk::report_unanswered(const call_record& call,
                                  const running_attempt& attempt) {
    if (!pool_.sent(attempt.call) || call.answering) {
        return;
    }
    const auto tell = [this, of = crash_fingerprints(call), attempt,
                       alone = call.alone](decision::failure_meaning meaning) {
        if (meaning != decision::failure_meaning::of_server) {
            return;
        }
        backend_answer silent;
        silent.end = attempt_end::timed_out;
        silent.sign = decision::server_sign::silent;
        crashes_.on_lost(of,
                         {attempt.backend_server, attempt.incarnation,
                          attempt.started, silent},
                         alone);
    };
    const auto meaning = reach_.on_silence(attempt.backend_server, tell);
    if (meaning != decision::failure_meaning::open) {
        tell(meaning);
    }
}

void call_desk::take_probe_sign(const attempt_sign& shown) {
    crashes_.on_sign(shown);
}

// Whether a request that has waited for its slot, or a second copy, may still
// be sent beside others.
bool call_desk::is_suspect_by_now(const call_record& call) {
    return crashes_.watching() && !call.alone &&
           !crashes_.may_run_in_company(crash_fingerprints(call));
}

// A request became a suspect while it, or its second copy, waited for a slot.
void call_desk::refuse_waiting_suspect(call_record& call,
                                       decision::request_id waiting) {
    return_slot(call.labels.service, waiting);
    if (waiting != call.id) {
        hedges_.erase(waiting);
        call.hedge_waiting = 0;
        return;
    }
    own_answer answer;
    answer.reason = "suspected-of-crashing";
    answer.retry_after = retry_after_default;
    finish(call.id, answer);
}

} // namespace waxwingvale::entry
