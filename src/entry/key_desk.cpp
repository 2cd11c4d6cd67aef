#include "entry/key_desk.hpp"

#include <algorithm>
#include <utility>

#include "entry/key_message_codec.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// A holder answers in about a millisecond; one that has not by now is taken
// for out of reach, and the caller learns "unknown" rather than waiting.
constexpr duration ask_timeout = 500ms;
constexpr duration forgetting_period = 1s;

} // namespace

key_desk::key_desk(member_id self, io::message_hub& hub,
                   kernel::timer_service& timers, key_outlet& outlet)
    : hub_(hub),
      timers_(timers),
      outlet_(outlet),
      store_(std::move(self), timers.now(), {}) {
    hub_.on_message(key_kind, [this](const std::string&,
                                     const std::vector<std::uint8_t>& bytes) {
        take(bytes);
    });
    forgetting_ = timers_.every(forgetting_period,
                                [this](time_point now) { store_.tick(now); });
}

void key_desk::on_request(const std::string& key,
                          decision::request_fingerprint fingerprint,
                          decision::waiter_id waiter) {
    const auto decision =
        store_.on_request(key, fingerprint, waiter, timers_.now());
    if (const auto* ask = std::get_if<decision::ask_peer>(&decision)) {
        send(ask->request);
        return;
    }
    if (!std::holds_alternative<decision::join_attempt>(decision)) {
        outlet_.settle(waiter, decision);
    }
}

void key_desk::on_finished(const std::string& key, std::uint64_t attempt,
                           run_outcome outcome, decision::answer_ptr answer) {
    carry_out(store_.on_finished(key, attempt, outcome, std::move(answer),
                                 timers_.now()));
}

void key_desk::on_waiter_gone(const std::string& key,
                              decision::waiter_id waiter) {
    store_.on_waiter_gone(key, waiter);
}

void key_desk::change_limits(const decision::key_limits& limits) {
    store_.change_limits(limits);
}

void key_desk::change_members(const std::vector<member>& members) {
    members_ = members;
}

void key_desk::take(const std::vector<std::uint8_t>& bytes) {
    const auto message = decode_key_message(bytes);
    if (!message) {
        return;
    }
    const auto now = timers_.now();
    if (const auto* request =
            std::get_if<decision::hand_over_request>(&message.value())) {
        carry_out(store_.on_hand_over_request(*request, now));
        return;
    }
    const auto& reply = std::get<decision::hand_over_reply>(message.value());
    carry_out(store_.on_hand_over_reply(reply, now));
    ask_ended(reply);
}

void key_desk::ask_ended(const decision::hand_over_reply& reply) {
    const auto found = asks_.find(reply.key);
    if (found == asks_.end()) {
        return;
    }
    if (!store_.awaits_hand_over(reply.key)) {
        asks_.erase(found);
    } else if (reply.kind == decision::hand_over_kind::in_flight &&
               reply.from == found->second.request.to) {
        found->second.in_flight = true;
    }
}

void key_desk::carry_out(const decision::key_effects& effects) {
    for (const auto& message : effects.messages) {
        std::visit([this](const auto& one) { send(one); }, message);
    }
    for (const auto& settled : effects.settled) {
        outlet_.settle(settled.waiter, settled.decision);
    }
}

void key_desk::send(const decision::hand_over_request& request) {
    const auto& key = request.key;
    const bool sent = !is_gone(request.to) &&
                      hub_.send(request.to.name, key_kind, encode(request));
    auto& ask = asks_[key];
    ask.request = request;
    ask.in_flight = false;
    // Also when nothing was sent the failure comes by the timer, so that the
    // store is never entered again from within itself.
    ask.timeout = timers_.after(sent ? ask_timeout : 0ms,
                                [this, key](time_point) { check_ask(key); });
}

void key_desk::send(const decision::hand_over_reply& reply) {
    // A reply that cannot be sent is lost like one on the way: the asker
    // tells its caller "unknown", and a resend asks again.
    hub_.send(reply.to.name, key_kind, encode(reply));
}

// A peer that said "in flight" may die before it sends the end, and a parked
// copy would wait for its deadline. So it is asked again until the end comes.
void key_desk::check_ask(const std::string& key) {
    const auto found = asks_.find(key);
    if (found == asks_.end()) {
        return;
    }
    const auto request = found->second.request;
    if (found->second.in_flight && store_.awaits_hand_over(key)) {
        send(request);
        return;
    }
    asks_.erase(found);
    carry_out(
        store_.on_hand_over_failed(key, is_gone(request.to), timers_.now()));
}

bool key_desk::is_gone(const member_id& holder) const {
    return std::any_of(members_.begin(), members_.end(),
                       [&](const member& known) {
                           // Silence alone proves nothing: the holder may only
                           // be cut off.
                           return known.id.name == holder.name &&
                                  known.id.incarnation > holder.incarnation;
                       });
}

} // namespace waxwingvale::entry
