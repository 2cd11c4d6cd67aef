// The part of call_desk that passes long answers on while they come.

#include <utility>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

namespace {

// Bytes queued for a slow caller at which reading from the backend server
// stops.
constexpr std::size_t relay_limit = 512 * 1024;

} // namespace

forwarding::long_answer_handlers
call_desk::relay_handlers(decision::request_id id,
                          decision::request_id attempt_id) {
    forwarding::long_answer_handlers handlers;
    handlers.may_be_answer = [this](const io::http_response& head) {
        return meaning_of(head).outcome != run_outcome::unknown;
    };
    handlers.on_begin = [this, id,
                         attempt_id](const io::http_response& head,
                                     std::optional<std::uint64_t> length) {
        if (meaning_of(head).outcome != run_outcome::ran) {
            return false; // nothing that a caller is given
        }
        begin_relay(id, attempt_id, head, length);
        return true;
    };
    handlers.on_bytes = [this, id](const std::string& bytes) {
        relay(id, bytes);
    };
    return handlers;
}

// What an answer of that head proves.
backend_answer call_desk::meaning_of(const io::http_response& head) const {
    return protocol_.classify({head, true, std::nullopt, {}});
}

// The answer of this attempt goes to the caller: once its head is passed on,
// the request can be neither retried nor hedged.
void call_desk::begin_relay(decision::request_id id,
                            decision::request_id attempt_id,
                            const io::http_response& head,
                            std::optional<std::uint64_t> length) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    const bool was_hedge = attempt_id != id;
    auto& other = was_hedge ? call->running : call->hedge;
    if (other) {
        const auto loser = *other;
        other.reset();
        cancel_attempt(call->labels.service, loser);
    }
    drop_waiting_hedge(*call);
    call->answering = true;
    const auto& winner = was_hedge ? *call->hedge : *call->running;
    call->caller->on_drained([this, on = winner.call] { pool_.resume(on); });
    auto passed_on = protocol_.pass_on(head, {});
    mark_for_peer(*call, run_outcome::ran, passed_on);
    call->caller->begin_answer(std::move(passed_on), length);
    const auto said = meaning_of(head);
    if (said.terms) {
        desk_of(call->labels.service)
            .handle(decision::answer_begun{attempt_id, *said.terms});
    }
}

void call_desk::relay(decision::request_id id, const std::string& bytes) {
    auto* call = find(id);
    if (call == nullptr) {
        return;
    }
    call->relayed += bytes.size();
    call->caller->add(bytes);
    if (call->caller->waiting() <= relay_limit) {
        return;
    }
    if (call->detour) {
        detours_.pause(call->detour->call);
    } else {
        const auto& winner = call->running ? *call->running : *call->hedge;
        pool_.pause(winner.call);
    }
}

void call_desk::end_relay(call_record& call, const backend_answer& answer) {
    const auto caller = call.caller;
    const bool whole = answer.outcome == run_outcome::ran;
    note(call, whole ? "call_answered" : "call_cut",
         fact("outcome", to_string(answer.outcome)) + " " +
             fact("bytes", call.relayed));
    close_record(call, {answer.outcome, whole, timers_.now()}, nullptr);
    if (whole) {
        caller->end_answer();
    } else {
        caller->break_off(forwarding::request_end::server_cut);
    }
}

// The answer that is passed on has no time left. What the caller has got is
// not the whole of it, which a close in order would hide.
void call_desk::cut_answer(call_record& call, forwarding::request_end why) {
    const auto caller = call.caller;
    note(call, "call_cut",
         fact("outcome", to_string(run_outcome::unknown)) + " " +
             fact("bytes", call.relayed));
    cancel_attempts(call);
    close_record(call, {run_outcome::unknown, false, timers_.now()}, nullptr);
    caller->break_off(why);
}

} // namespace waxwingvale::entry
