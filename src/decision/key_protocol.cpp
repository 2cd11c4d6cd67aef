#include "decision/key_protocol.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::decision {
namespace {

// Number of redirects that a requester follows before it gives up.
constexpr unsigned max_redirects = 4;

// Number of members that are told "in flight" for one key. Further members get
// "unknown".
constexpr std::size_t max_requesters = 32;

key_decision decision_for_answer(const answer_ptr& answer) {
    if (answer) {
        return replay_answer{answer};
    }
    return report_ran{};
}

// A waiting member repeats its request from time to time but needs only one
// reply.
void remember_requester(key_record_details& details,
                        const hand_over_requester& requester) {
    auto& requesters = details.requesters;
    if (std::find(requesters.begin(), requesters.end(), requester) ==
        requesters.end()) {
        requesters.push_back(requester);
    }
}

} // namespace

key_protocol::key_protocol(member_id self, time_point started,
                           const key_limits& limits)
    : self_(std::move(self)), table_(started, limits) {}

key_decision key_protocol::on_request(const std::string& key,
                                      request_fingerprint fingerprint,
                                      waiter_id waiter, time_point now) {
    if (auto* record = table_.find(key)) {
        return on_later_copy(key, *record, fingerprint, waiter, now);
    }
    const auto parsed = parse_idempotency_key(key);
    if (!parsed) {
        return refuse_key_form{key_prefix(self_, table_.age(now))};
    }
    return on_first_copy(key, *parsed, fingerprint, waiter, now);
}

key_decision key_protocol::on_first_copy(const std::string& key,
                                         const idempotency_key& parsed,
                                         request_fingerprint fingerprint,
                                         waiter_id waiter, time_point now) {
    if (parsed.holder == self_) {
        return on_first_own_copy(key, parsed, fingerprint, now);
    }
    if (parsed.holder.name == self_.name) {
        // The records were lost with a previous incarnation of this instance.
        return report_unknown{std::nullopt};
    }
    if (!table_.has_room_for_key()) {
        // The holder may have run the request, so "not run" would be wrong.
        return unknown_for_now();
    }
    auto& record = table_.insert_foreign(key, now);
    record.fingerprint = fingerprint;
    record.ensure_details().peer = parsed.holder;
    return start_hand_over_request(key, record, waiter);
}

key_decision key_protocol::on_first_own_copy(const std::string& key,
                                             const idempotency_key& parsed,
                                             request_fingerprint fingerprint,
                                             time_point now) {
    if (table_.expired(parsed.issued_s)) {
        return refuse_expired{};
    }
    if (table_.issued_in_future(parsed.issued_s, now)) {
        return refuse_key_form{key_prefix(self_, table_.age(now))};
    }
    // The new request is refused because removing another record to make room
    // could let that other request run twice.
    if (!table_.has_room_for_key() || !table_.has_room_for_attempt()) {
        return refuse_full{table_.time_until_room(now)};
    }
    auto& record = table_.insert_own(key, parsed.issued_s);
    record.fingerprint = fingerprint;
    return start_attempt(record, now);
}

key_decision key_protocol::on_later_copy(const std::string& key,
                                         key_record& record,
                                         request_fingerprint fingerprint,
                                         waiter_id waiter, time_point now) {
    const bool at_other_member = record.state == key_state::requesting ||
                                 record.state == key_state::request_ended;
    if (record.fingerprint != fingerprint) {
        // Only a member that had the key knows with which request it was first
        // used.
        if (at_other_member && !record.handed_over()) {
            return unknown_for_now();
        }
        return refuse_mismatch{};
    }
    switch (record.state) {
    case key_state::idle:
        return start_attempt(record, now);
    case key_state::answered:
        return decision_for_answer(record.answer);
    case key_state::unknown:
        return unknown_for_now();
    case key_state::running:
    case key_state::requesting:
        record.ensure_details().waiters.push_back(waiter);
        return join_attempt{};
    case key_state::request_ended:
    case key_state::moved:
        return start_hand_over_request(key, record, waiter);
    }
    return unknown_for_now();
}

key_decision key_protocol::start_attempt(key_record& record, time_point now) {
    if (!table_.has_room_for_attempt()) {
        return refuse_full{table_.time_until_room(now)};
    }
    table_.reserve_answer();
    record.state = key_state::running;
    record.attempt = ++last_id_;
    return run_here{record.attempt};
}

key_decision key_protocol::start_hand_over_request(const std::string& key,
                                                   key_record& record,
                                                   waiter_id waiter) {
    auto& details = record.ensure_details();
    if (record.state == key_state::moved) {
        // The grant for the previous hand-over request has been used. A late
        // copy of it must not be valid for this request.
        details.peer = details.granted_to->member;
        details.hand_over_id = 0;
    }
    if (details.hand_over_id == 0) {
        details.hand_over_id = ++last_id_;
    }
    details.redirects = 0;
    details.waiters.push_back(waiter);
    record.state = key_state::requesting;
    return ask_peer{request_for(key, record)};
}

key_effects key_protocol::on_finished(const std::string& key,
                                      std::uint64_t attempt,
                                      run_outcome outcome,
                                      const answer_ptr& answer) {
    key_effects effects;
    auto* record = table_.find(key);
    if (record == nullptr || record->attempt != attempt) {
        return effects;
    }
    if (record->state == key_state::running) {
        table_.release_answer();
    } else if (record->state != key_state::unknown) {
        return effects;
    }
    if (outcome == run_outcome::ran) {
        record->state = key_state::answered;
        table_.keep_answer(*record, answer);
        settle_all(key, *record, decision_for_answer(answer),
                   hand_over_kind::answered, effects);
    } else if (outcome == run_outcome::not_run) {
        record->state = key_state::idle;
        settle_all(key, *record, report_not_run{table_.limits().retry_after},
                   hand_over_kind::unknown, effects);
    } else {
        record->state = key_state::unknown;
        settle_all(key, *record, unknown_for_now(), hand_over_kind::unknown,
                   effects);
    }
    return effects;
}

void key_protocol::on_waiter_gone(const std::string& key, waiter_id waiter) {
    auto* record = table_.find(key);
    if (record == nullptr || !record->details) {
        return;
    }
    auto& waiters = record->details->waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter),
                  waiters.end());
}

bool key_protocol::is_awaited(const std::string& key) const {
    const auto* record = table_.find(key);
    return record != nullptr && record->details &&
           !(record->details->waiters.empty() &&
             record->details->requesters.empty());
}

bool key_protocol::awaits_hand_over(const std::string& key) const {
    const auto* record = table_.find(key);
    return record != nullptr && record->state == key_state::requesting;
}

hand_over_reply
key_protocol::on_hand_over_request(const hand_over_request& request,
                                   time_point now) {
    auto reply =
        reply_to(hand_over_requester{request.from, request.hand_over_id},
                 request.key, hand_over_kind::unknown);
    if (request.to != self_) {
        // The request is addressed to a previous incarnation, whose records are
        // lost.
        return reply;
    }
    auto* record = table_.find(request.key);
    reply.kind = record == nullptr ? reply_without_record(request, now)
                                   : reply_with_record(request, *record, reply);
    return reply;
}

hand_over_kind
key_protocol::reply_without_record(const hand_over_request& request,
                                   time_point now) {
    const auto parsed = parse_idempotency_key(request.key);
    if (!parsed || parsed->holder != self_ ||
        table_.issued_in_future(parsed->issued_s, now)) {
        return hand_over_kind::unknown;
    }
    if (table_.expired(parsed->issued_s)) {
        return hand_over_kind::expired;
    }
    if (!table_.has_room_for_key()) {
        return hand_over_kind::unknown;
    }
    auto& record = table_.insert_own(request.key, parsed->issued_s);
    record.fingerprint = request.fingerprint;
    record.state = key_state::moved;
    record.ensure_details().granted_to =
        hand_over_requester{request.from, request.hand_over_id};
    return hand_over_kind::granted;
}

hand_over_kind key_protocol::reply_with_record(const hand_over_request& request,
                                               key_record& record,
                                               hand_over_reply& reply) {
    const hand_over_requester requester{request.from, request.hand_over_id};
    const bool known_here = record.state == key_state::idle ||
                            record.state == key_state::running ||
                            record.state == key_state::answered ||
                            record.state == key_state::unknown;
    if ((known_here || record.handed_over()) &&
        record.fingerprint != request.fingerprint) {
        return hand_over_kind::mismatch;
    }
    switch (record.state) {
    case key_state::idle:
        record.state = key_state::moved;
        record.ensure_details().granted_to = requester;
        return hand_over_kind::granted;
    case key_state::running:
        if (record.ensure_details().requesters.size() >= max_requesters) {
            return hand_over_kind::unknown;
        }
        remember_requester(record.ensure_details(), requester);
        return hand_over_kind::in_flight;
    case key_state::answered:
        reply.answer = record.answer;
        return hand_over_kind::answered;
    case key_state::unknown:
        return hand_over_kind::unknown;
    case key_state::requesting:
    case key_state::request_ended:
    case key_state::moved:
        return reply_after_hand_over(request, record, reply);
    }
    return hand_over_kind::unknown;
}

hand_over_kind
key_protocol::reply_after_hand_over(const hand_over_request& request,
                                    const key_record& record,
                                    hand_over_reply& reply) const {
    if (!record.handed_over()) {
        return hand_over_kind::unknown;
    }
    const auto& granted = *record.details->granted_to;
    if (granted == hand_over_requester{request.from, request.hand_over_id}) {
        // The grant was lost or is late. It may be sent again only for the same
        // hand-over request, because the requester cannot have used a grant for
        // this request and lost the record of it.
        return hand_over_kind::granted;
    }
    if (granted.member == request.from) {
        return hand_over_kind::unknown;
    }
    reply.moved_to = granted.member;
    return hand_over_kind::moved;
}

key_effects key_protocol::on_hand_over_reply(const hand_over_reply& reply) {
    auto* record = table_.find(reply.key);
    if (reply.to != self_ || record == nullptr ||
        record->state != key_state::requesting ||
        record->details->hand_over_id != reply.hand_over_id) {
        return {};
    }
    if (reply.kind == hand_over_kind::granted) {
        return on_granted(reply.key, *record);
    }
    if (reply.from != record->details->peer) {
        return {}; // sent before this request was redirected to another peer
    }
    if (reply.kind == hand_over_kind::in_flight) {
        return {};
    }
    if (reply.kind == hand_over_kind::moved) {
        return on_moved(reply, *record);
    }
    if (reply.kind != hand_over_kind::answered) {
        return on_refused(reply, *record);
    }
    key_effects effects;
    // An answer that cannot be stored here is requested again when it is
    // needed.
    const bool kept = table_.keep_answer(*record, reply.answer);
    record->state = kept ? key_state::answered : key_state::request_ended;
    settle_all(reply.key, *record, decision_for_answer(reply.answer),
               hand_over_kind::answered, effects);
    return effects;
}

key_effects key_protocol::on_granted(const std::string& key,
                                     key_record& record) {
    key_effects effects;
    auto& details = record.ensure_details();
    // This member has the key again, so the tombstone of an earlier hand-over
    // no longer applies.
    details.granted_to.reset();
    details.hand_over_id = 0;
    if (details.waiters.empty() || !table_.has_room_for_attempt()) {
        record.state = key_state::idle;
        settle_all(key, record, report_not_run{table_.limits().retry_after},
                   hand_over_kind::unknown, effects);
        return effects;
    }
    const auto first = details.waiters.front();
    details.waiters.erase(details.waiters.begin());
    table_.reserve_answer();
    record.state = key_state::running;
    record.attempt = ++last_id_;
    effects.settled.push_back({first, run_here{record.attempt}});
    return effects;
}

key_effects key_protocol::on_moved(const hand_over_reply& reply,
                                   key_record& record) {
    auto& details = record.ensure_details();
    if (reply.moved_to == self_ || details.redirects >= max_redirects) {
        return end_hand_over_request(reply.key, record, unknown_for_now(),
                                     hand_over_kind::unknown);
    }
    ++details.redirects;
    details.peer = reply.moved_to;
    key_effects effects;
    effects.messages.emplace_back(request_for(reply.key, record));
    return effects;
}

key_effects key_protocol::on_refused(const hand_over_reply& reply,
                                     key_record& record) {
    switch (reply.kind) {
    case hand_over_kind::mismatch:
        return end_hand_over_request(reply.key, record, refuse_mismatch{},
                                     hand_over_kind::mismatch);
    case hand_over_kind::expired:
        return end_hand_over_request(reply.key, record, refuse_expired{},
                                     hand_over_kind::expired);
    default:
        return end_hand_over_request(reply.key, record, unknown_for_now(),
                                     hand_over_kind::unknown);
    }
}

key_effects key_protocol::on_hand_over_failed(const std::string& key,
                                              bool gone) {
    auto* record = table_.find(key);
    if (record == nullptr || record->state != key_state::requesting) {
        return {};
    }
    if (!gone) {
        return end_hand_over_request(key, *record, unknown_for_now(),
                                     hand_over_kind::unknown);
    }
    return end_hand_over_request(key, *record, report_unknown{std::nullopt},
                                 hand_over_kind::expired);
}

key_effects key_protocol::end_hand_over_request(const std::string& key,
                                                key_record& record,
                                                const key_decision& decision,
                                                hand_over_kind kind) {
    key_effects effects;
    record.state = key_state::request_ended;
    settle_all(key, record, decision, kind, effects);
    // Another hand-over request would end the same way, and a copy with another
    // body must not be compared with this one, so the record is removed.
    const bool final =
        kind == hand_over_kind::mismatch || kind == hand_over_kind::expired;
    if (final && !record.handed_over()) {
        table_.erase(key);
    }
    return effects;
}

void key_protocol::settle_all(const std::string& key, key_record& record,
                              const key_decision& decision, hand_over_kind kind,
                              key_effects& effects) {
    if (!record.details) {
        return;
    }
    for (const auto waiter : std::exchange(record.details->waiters, {})) {
        effects.settled.push_back({waiter, decision});
    }
    for (const auto& requester :
         std::exchange(record.details->requesters, {})) {
        auto reply = reply_to(requester, key, kind);
        reply.answer = record.answer;
        effects.messages.emplace_back(std::move(reply));
    }
    const bool unused =
        !record.details->granted_to && record.details->hand_over_id == 0;
    if (unused) {
        record.details.reset();
    }
}

hand_over_reply key_protocol::reply_to(const hand_over_requester& requester,
                                       const std::string& key,
                                       hand_over_kind kind) const {
    hand_over_reply reply;
    reply.from = self_;
    reply.to = requester.member;
    reply.key = key;
    reply.hand_over_id = requester.hand_over_id;
    reply.kind = kind;
    return reply;
}

hand_over_request key_protocol::request_for(const std::string& key,
                                            const key_record& record) const {
    hand_over_request request;
    request.from = self_;
    request.to = record.details->peer;
    request.key = key;
    request.fingerprint = record.fingerprint;
    request.hand_over_id = record.details->hand_over_id;
    return request;
}

report_unknown key_protocol::unknown_for_now() const {
    return report_unknown{table_.limits().retry_after};
}

} // namespace waxwingvale::decision
