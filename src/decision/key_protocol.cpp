#include "decision/key_protocol.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::decision {
namespace {

// How often a key may have moved on before an asker gives up.
constexpr unsigned max_redirects = 4;

// Members told "in flight" for one key; one more learns "unknown" instead.
constexpr std::size_t max_askers = 32;

key_decision decision_for_answer(const answer_ptr& answer) {
    if (answer) {
        return replay_answer{answer};
    }
    return report_ran{};
}

// Whoever waits asks again now and then, and needs only one reply.
void remember_asker(key_links& links, const key_asker& asker) {
    auto& askers = links.askers;
    if (std::find(askers.begin(), askers.end(), asker) == askers.end()) {
        askers.push_back(asker);
    }
}

} // namespace

key_protocol::key_protocol(member_id self, time_point started,
                           const key_limits& limits)
    : self_(std::move(self)), memory_(started, limits) {}

key_decision key_protocol::on_request(const std::string& key,
                                      request_fingerprint fingerprint,
                                      waiter_id waiter, time_point now) {
    if (auto* record = memory_.find(key)) {
        return next_copy(key, *record, fingerprint, waiter, now);
    }
    const auto parsed = parse_request_key(key);
    if (!parsed) {
        return refuse_key_form{key_prefix(self_, memory_.age(now))};
    }
    return first_copy(key, *parsed, fingerprint, waiter, now);
}

key_decision key_protocol::first_copy(const std::string& key,
                                      const request_key& parsed,
                                      request_fingerprint fingerprint,
                                      waiter_id waiter, time_point now) {
    if (parsed.holder == self_) {
        return first_own_copy(key, parsed, fingerprint, now);
    }
    if (parsed.holder.name == self_.name) {
        // A former life of this instance took the key with it.
        return report_unknown{std::nullopt};
    }
    if (!memory_.has_room_for_key()) {
        // The holder may have run it, so this is not "not run".
        return unknown_for_now();
    }
    auto& record = memory_.insert_foreign(key, now);
    record.fingerprint = fingerprint;
    record.linked().peer = parsed.holder;
    return begin_asking(key, record, waiter);
}

key_decision key_protocol::first_own_copy(const std::string& key,
                                          const request_key& parsed,
                                          request_fingerprint fingerprint,
                                          time_point now) {
    if (memory_.expired(parsed.issued_s)) {
        return refuse_expired{};
    }
    if (memory_.ahead(parsed.issued_s, now)) {
        return refuse_key_form{key_prefix(self_, memory_.age(now))};
    }
    // Refusing is the safe end of the memory: forgetting another key to make
    // room would let that one run twice.
    if (!memory_.has_room_for_key() || !memory_.has_room_for_attempt()) {
        return refuse_full{memory_.until_room(now)};
    }
    auto& record = memory_.insert_own(key, parsed.issued_s);
    record.fingerprint = fingerprint;
    return begin_run(record, now);
}

key_decision key_protocol::next_copy(const std::string& key, key_record& record,
                                     request_fingerprint fingerprint,
                                     waiter_id waiter, time_point now) {
    const bool asks =
        record.state == key_state::asking || record.state == key_state::asked;
    if (record.fingerprint != fingerprint) {
        // Only who held the key knows what it was first used with.
        if (asks && !record.handed_over()) {
            return unknown_for_now();
        }
        return refuse_mismatch{};
    }
    switch (record.state) {
    case key_state::idle:
        return begin_run(record, now);
    case key_state::answered:
        return decision_for_answer(record.answer);
    case key_state::unknown:
        return unknown_for_now();
    case key_state::running:
    case key_state::asking:
        record.linked().waiters.push_back(waiter);
        return join_attempt{};
    case key_state::asked:
    case key_state::moved:
        return begin_asking(key, record, waiter);
    }
    return unknown_for_now();
}

key_decision key_protocol::begin_run(key_record& record, time_point now) {
    if (!memory_.has_room_for_attempt()) {
        return refuse_full{memory_.until_room(now)};
    }
    memory_.reserve_answer();
    record.state = key_state::running;
    record.attempt = ++last_number_;
    return run_here{record.attempt};
}

key_decision key_protocol::begin_asking(const std::string& key,
                                        key_record& record, waiter_id waiter) {
    auto& links = record.linked();
    if (record.state == key_state::moved) {
        // A grant for a former asking was used up; a late copy of it must not
        // count for this one.
        links.peer = links.granted_to->member;
        links.ask_id = 0;
    }
    if (links.ask_id == 0) {
        links.ask_id = ++last_number_;
    }
    links.redirects = 0;
    links.waiters.push_back(waiter);
    record.state = key_state::asking;
    return ask_peer{request_for(key, record)};
}

key_effects key_protocol::on_finished(const std::string& key,
                                      std::uint64_t attempt,
                                      run_outcome outcome,
                                      const answer_ptr& answer) {
    key_effects effects;
    auto* record = memory_.find(key);
    if (record == nullptr || record->attempt != attempt) {
        return effects;
    }
    if (record->state == key_state::running) {
        memory_.release_answer();
    } else if (record->state != key_state::unknown) {
        return effects;
    }
    if (outcome == run_outcome::ran) {
        record->state = key_state::answered;
        memory_.keep_answer(*record, answer);
        settle_all(key, *record, decision_for_answer(answer),
                   hand_over_kind::answered, effects);
    } else if (outcome == run_outcome::not_run) {
        record->state = key_state::idle;
        settle_all(key, *record, report_not_run{memory_.limits().come_back_in},
                   hand_over_kind::unknown, effects);
    } else {
        record->state = key_state::unknown;
        settle_all(key, *record, unknown_for_now(), hand_over_kind::unknown,
                   effects);
    }
    return effects;
}

void key_protocol::on_waiter_gone(const std::string& key, waiter_id waiter) {
    auto* record = memory_.find(key);
    if (record == nullptr || !record->links) {
        return;
    }
    auto& waiters = record->links->waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter),
                  waiters.end());
}

bool key_protocol::asking(const std::string& key) const {
    const auto* record = memory_.find(key);
    return record != nullptr && record->state == key_state::asking;
}

hand_over_reply
key_protocol::on_hand_over_request(const hand_over_request& request,
                                   time_point now) {
    auto reply = reply_to(key_asker{request.from, request.ask_id}, request.key,
                          hand_over_kind::unknown);
    if (request.to != self_) {
        return reply; // meant for a former life, whose memory is lost
    }
    auto* record = memory_.find(request.key);
    reply.kind = record == nullptr ? first_asked(request, now)
                                   : asked_again(request, *record, reply);
    return reply;
}

hand_over_kind key_protocol::first_asked(const hand_over_request& request,
                                         time_point now) {
    const auto parsed = parse_request_key(request.key);
    if (!parsed || parsed->holder != self_ ||
        memory_.ahead(parsed->issued_s, now)) {
        return hand_over_kind::unknown;
    }
    if (memory_.expired(parsed->issued_s)) {
        return hand_over_kind::expired;
    }
    if (!memory_.has_room_for_key()) {
        return hand_over_kind::unknown;
    }
    auto& record = memory_.insert_own(request.key, parsed->issued_s);
    record.fingerprint = request.fingerprint;
    record.state = key_state::moved;
    record.linked().granted_to = key_asker{request.from, request.ask_id};
    return hand_over_kind::granted;
}

hand_over_kind key_protocol::asked_again(const hand_over_request& request,
                                         key_record& record,
                                         hand_over_reply& reply) {
    const key_asker asker{request.from, request.ask_id};
    const bool held = record.state == key_state::idle ||
                      record.state == key_state::running ||
                      record.state == key_state::answered ||
                      record.state == key_state::unknown;
    if ((held || record.handed_over()) &&
        record.fingerprint != request.fingerprint) {
        return hand_over_kind::mismatch;
    }
    switch (record.state) {
    case key_state::idle:
        record.state = key_state::moved;
        record.linked().granted_to = asker;
        return hand_over_kind::granted;
    case key_state::running:
        if (record.linked().askers.size() >= max_askers) {
            return hand_over_kind::unknown;
        }
        remember_asker(record.linked(), asker);
        return hand_over_kind::in_flight;
    case key_state::answered:
        reply.answer = record.answer;
        return hand_over_kind::answered;
    case key_state::unknown:
        return hand_over_kind::unknown;
    case key_state::asking:
    case key_state::asked:
    case key_state::moved:
        return asked_after_hand_over(request, record, reply);
    }
    return hand_over_kind::unknown;
}

hand_over_kind
key_protocol::asked_after_hand_over(const hand_over_request& request,
                                    const key_record& record,
                                    hand_over_reply& reply) const {
    if (!record.handed_over()) {
        return hand_over_kind::unknown;
    }
    const auto& granted = *record.links->granted_to;
    if (granted == key_asker{request.from, request.ask_id}) {
        // The grant was lost or is late. Only this very asking may have it
        // again: its asker cannot have used it and forgotten so.
        return hand_over_kind::granted;
    }
    if (granted.member == request.from) {
        return hand_over_kind::unknown;
    }
    reply.moved_to = granted.member;
    return hand_over_kind::moved;
}

key_effects key_protocol::on_hand_over_reply(const hand_over_reply& reply) {
    auto* record = memory_.find(reply.key);
    if (reply.to != self_ || record == nullptr ||
        record->state != key_state::asking ||
        record->links->ask_id != reply.ask_id) {
        return {};
    }
    if (reply.kind == hand_over_kind::granted) {
        return on_granted(reply.key, *record);
    }
    if (reply.from != record->links->peer) {
        return {}; // word from before the key moved on
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
    // A copy that cannot be kept here is asked for again when it is needed.
    const bool kept = memory_.keep_answer(*record, reply.answer);
    record->state = kept ? key_state::answered : key_state::asked;
    settle_all(reply.key, *record, decision_for_answer(reply.answer),
               hand_over_kind::answered, effects);
    return effects;
}

key_effects key_protocol::on_granted(const std::string& key,
                                     key_record& record) {
    key_effects effects;
    auto& links = record.linked();
    // The tombstone of an earlier hand-over is over: the key is ours again.
    links.granted_to.reset();
    links.ask_id = 0;
    if (links.waiters.empty() || !memory_.has_room_for_attempt()) {
        record.state = key_state::idle;
        settle_all(key, record, report_not_run{memory_.limits().come_back_in},
                   hand_over_kind::unknown, effects);
        return effects;
    }
    const auto first = links.waiters.front();
    links.waiters.erase(links.waiters.begin());
    memory_.reserve_answer();
    record.state = key_state::running;
    record.attempt = ++last_number_;
    effects.settled.push_back({first, run_here{record.attempt}});
    return effects;
}

key_effects key_protocol::on_moved(const hand_over_reply& reply,
                                   key_record& record) {
    auto& links = record.linked();
    if (reply.moved_to == self_ || links.redirects >= max_redirects) {
        return end_asking(reply.key, record, unknown_for_now(),
                          hand_over_kind::unknown);
    }
    ++links.redirects;
    links.peer = reply.moved_to;
    key_effects effects;
    effects.messages.emplace_back(request_for(reply.key, record));
    return effects;
}

key_effects key_protocol::on_refused(const hand_over_reply& reply,
                                     key_record& record) {
    switch (reply.kind) {
    case hand_over_kind::mismatch:
        return end_asking(reply.key, record, refuse_mismatch{},
                          hand_over_kind::mismatch);
    case hand_over_kind::expired:
        return end_asking(reply.key, record, refuse_expired{},
                          hand_over_kind::expired);
    default:
        return end_asking(reply.key, record, unknown_for_now(),
                          hand_over_kind::unknown);
    }
}

key_effects key_protocol::on_hand_over_failed(const std::string& key,
                                              bool gone) {
    auto* record = memory_.find(key);
    if (record == nullptr || record->state != key_state::asking) {
        return {};
    }
    if (!gone) {
        return end_asking(key, *record, unknown_for_now(),
                          hand_over_kind::unknown);
    }
    return end_asking(key, *record, report_unknown{std::nullopt},
                      hand_over_kind::expired);
}

key_effects key_protocol::end_asking(const std::string& key, key_record& record,
                                     const key_decision& decision,
                                     hand_over_kind kind) {
    key_effects effects;
    record.state = key_state::asked;
    settle_all(key, record, decision, kind, effects);
    // Another asking would end the same way, and with another body it should
    // not be measured against this one, so nothing is worth remembering.
    const bool final =
        kind == hand_over_kind::mismatch || kind == hand_over_kind::expired;
    if (final && !record.handed_over()) {
        memory_.erase(key);
    }
    return effects;
}

void key_protocol::settle_all(const std::string& key, key_record& record,
                              const key_decision& decision, hand_over_kind kind,
                              key_effects& effects) {
    if (!record.links) {
        return;
    }
    for (const auto waiter : std::exchange(record.links->waiters, {})) {
        effects.settled.push_back({waiter, decision});
    }
    for (const auto& asker : std::exchange(record.links->askers, {})) {
        auto reply = reply_to(asker, key, kind);
        reply.answer = record.answer;
        effects.messages.emplace_back(std::move(reply));
    }
    const bool unused = !record.links->granted_to && record.links->ask_id == 0;
    if (unused) {
        record.links.reset();
    }
}

hand_over_reply key_protocol::reply_to(const key_asker& asker,
                                       const std::string& key,
                                       hand_over_kind kind) const {
    hand_over_reply reply;
    reply.from = self_;
    reply.to = asker.member;
    reply.key = key;
    reply.ask_id = asker.ask_id;
    reply.kind = kind;
    return reply;
}

hand_over_request key_protocol::request_for(const std::string& key,
                                            const key_record& record) const {
    hand_over_request request;
    request.from = self_;
    request.to = record.links->peer;
    request.key = key;
    request.fingerprint = record.fingerprint;
    request.ask_id = record.links->ask_id;
    return request;
}

report_unknown key_protocol::unknown_for_now() const {
    return report_unknown{memory_.limits().come_back_in};
}

} // namespace waxwingvale::decision
