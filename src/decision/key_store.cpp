#include <waxwingvale/decision/key_store.hpp>

#include <utility>

#include "decision/key_protocol.hpp"

namespace waxwingvale::decision {

key_store::key_store(member_id self, time_point started,
                     const key_limits& limits)
    : protocol_(
          std::make_unique<key_protocol>(std::move(self), started, limits)) {}

key_store::key_store(key_store&&) noexcept = default;
key_store& key_store::operator=(key_store&&) noexcept = default;
key_store::~key_store() = default;

key_decision key_store::on_request(const std::string& key,
                                   request_fingerprint fingerprint,
                                   waiter_id waiter, time_point now) {
    tick(now);
    return protocol_->on_request(key, fingerprint, waiter, now);
}

key_effects key_store::on_finished(const std::string& key,
                                   std::uint64_t attempt, run_outcome outcome,
                                   answer_ptr answer, time_point now) {
    auto effects = protocol_->on_finished(key, attempt, outcome, answer);
    tick(now);
    return effects;
}

void key_store::on_waiter_gone(const std::string& key, waiter_id waiter) {
    protocol_->on_waiter_gone(key, waiter);
}

key_effects key_store::on_hand_over_request(const hand_over_request& request,
                                            time_point now) {
    tick(now);
    key_effects effects;
    effects.messages.emplace_back(
        protocol_->on_hand_over_request(request, now));
    return effects;
}

key_effects key_store::on_hand_over_reply(const hand_over_reply& reply,
                                          time_point now) {
    tick(now);
    return protocol_->on_hand_over_reply(reply);
}

key_effects key_store::on_hand_over_failed(const std::string& key, bool gone,
                                           time_point now) {
    tick(now);
    return protocol_->on_hand_over_failed(key, gone);
}

void key_store::tick(time_point now) {
    protocol_->table().expire(now);
}

void key_store::change_limits(const key_limits& limits) {
    protocol_->table().change_limits(limits);
}

std::string key_store::prefix(time_point now) const {
    return key_prefix(self(), protocol_->table().age(now));
}

bool key_store::is_awaited(const std::string& key) const {
    return protocol_->is_awaited(key);
}

bool key_store::awaits_hand_over(const std::string& key) const {
    return protocol_->awaits_hand_over(key);
}

const member_id& key_store::self() const {
    return protocol_->self();
}

std::size_t key_store::size() const {
    return protocol_->table().size();
}

std::size_t key_store::answer_bytes() const {
    return protocol_->table().answer_bytes();
}

} // namespace waxwingvale::decision
