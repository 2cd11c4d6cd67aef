// The part of call_desk that deals with attempts whose answer is slow to come:
// hedges, and connections that have gone silent.

#include <algorithm>
#include <utility>

#include <waxwingvale/entry/lost_attempt.hpp>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// How many times longer than a slow answer means a silent connection, and the
// shortest time that does.
constexpr int silence_factor = 8;
constexpr duration silence_min = 200ms;

} // namespace

duration call_desk::silent_after(duration slow) {
    return std::max<duration>(slow * silence_factor, silence_min);
}

// A read on a kept connection that has gone silent would wait for its whole
// deadline; hedges alone do not help, since they need a spare slot and their
// budget is soon used up when many connections go silent together.
void call_desk::arm_silence(call_record& call, duration slow) {
    if (!call.may_run_again() || !call.may_reach_another() || call.nested) {
        return;
    }
    call.silence_timer =
        timers_.after(silent_after(slow),
                      [this, id = call.id](time_point) { replace_silent(id); });
}

// The silent attempt goes on beside its second copy: its server may be at work
// on it, and the answer is as good when it comes at last.
void call_desk::replace_silent(decision::request_id id) {
    auto* call = find(id);
    const bool has_one_copy = call != nullptr && call->running &&
                              !call->hedge && call->hedge_waiting == 0;
    if (!has_one_copy || call->alone || call->answering ||
        !call->may_reach_another()) {
        return;
    }
    reach_.on_silence(call->running->backend_server, {});
    if (reach_.reach() != decision::backend_reach::in_touch) {
        arm_silence(*call, silence_min / silence_factor);
        return;
    }
    auto& part = part_of(call->labels.service);
    if (part.policies.retries().try_spend()) {
        pool_.forget(call->running->backend_server);
        metrics_.retries.add(call->labels);
        send_second_copy(*call, false);
    }
}

// A copy that lost its race was slow, or its connection is silent for good;
// only a far longer wait than slow answers take speaks for the latter. Were
// every lost race taken for it, hedging would end the use of kept connections.
void call_desk::note_lost_race(const call_record& call,
                               const running_attempt& loser) {
    const auto now = timers_.now();
    const auto slow = part_of(call.labels.service)
                          .policies.hedges(call.labels.request_class)
                          .delay();
    if (now - loser.started > slow * silence_factor) {
        pool_.forget(loser.backend_server);
    }
}

void call_desk::arm_hedge(call_record& call, duration delay) {
    call.hedge_timer = timers_.after(
        delay, [this, id = call.id](time_point) { consider_hedge(id); });
}

void call_desk::consider_hedge(decision::request_id id) {
    auto* call = find(id);
    if (call == nullptr || !call->running || call->alone || call->answering ||
        reach_.partitioned()) {
        return;
    }
    if (!call->may_reach_another()) {
        return; // a retry has taken the last backend server it may reach
    }
    auto& part = part_of(call->labels.service);
    const auto& scheduler = part.desk->scheduler();
    decision::hedge_candidate candidate;
    candidate.nature = call->kind.nature;
    candidate.nested = call->nested;
    candidate.hedged = call->hedged;
    candidate.sent = call->running->started;
    candidate.slow_after = call->running->slow_after;
    candidate.deadline = call->deadline;
    candidate.free_slots = scheduler.has_spare_slot() ? 1 : 0;
    candidate.waiting = static_cast<unsigned>(scheduler.queued());
    const auto now = timers_.now();
    const auto decided = part.policies.hedges(call->labels.request_class)
                             .on_slow(candidate, now);
    if (const auto* later = std::get_if<decision::hedge_later>(&decided)) {
        arm_hedge(*call, std::max<duration>(later->at - now, 1ms));
        return;
    }
    if (!std::holds_alternative<decision::hedge_now>(decided)) {
        return;
    }
    metrics_.hedges.add(call->labels);
    send_second_copy(*call, true);
}

void call_desk::send_second_copy(call_record& call, bool only_if_spare) {
    call.hedged = true;
    note(call, only_if_spare ? "call_hedged" : "call_silent",
         fact("backend_server", call.running->backend_server) + " " +
             fact("waited_ms", timers_.now() - call.running->started));
    call.hedge_waiting = next_id_++;
    hedges_.emplace(call.hedge_waiting, call.id);
    auto second = slot_request(call);
    second.request = call.hedge_waiting;
    second.attempt = call.attempts_here + 1;
    second.excluded.push_back(call.running->backend_server);
    second.only_if_spare = only_if_spare;
    part_of(call.labels.service).desk->handle(second);
}

// The call needs its second copy no more, and it has not been sent.
void call_desk::drop_waiting_hedge(call_record& call) {
    if (call.hedge_waiting == 0) {
        return;
    }
    const auto hedge_id = std::exchange(call.hedge_waiting, 0);
    hedges_.erase(hedge_id);
    desk_of(call.labels.service).handle(decision::request_cancelled{hedge_id});
}

// No attempt of the call runs any more: what is sent for it next takes the
// place of a second copy that still waits, and does not go on beside it.
void call_desk::withdraw_second_copy(call_record& call) {
    if (call.hedge_waiting != 0) {
        drop_waiting_hedge(call);
        call.hedged = false;
    }
}

} // namespace waxwingvale::entry
