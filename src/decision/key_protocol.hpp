#pragma once

#include <cstdint>
#include <string>

#include "decision/key_record.hpp"
#include "decision/key_table.hpp"

#include <waxwingvale/decision/idempotency_key.hpp>
#include <waxwingvale/decision/key_decision.hpp>

namespace waxwingvale::decision {

// The protocol of a key store: it decides whether a request may run, answers
// copies and hands keys over. The right to run a request is a token. At first
// the member that the key names has it; a grant, which is valid for one
// hand-over request only, transfers it.
class key_protocol {
public:
    key_protocol(member_id self, time_point started, const key_limits& limits);

    key_decision on_request(const std::string& key,
                            request_fingerprint fingerprint, waiter_id waiter,
                            time_point now);
    key_effects on_finished(const std::string& key, std::uint64_t attempt,
                            run_outcome outcome, const answer_ptr& answer);
    void on_waiter_gone(const std::string& key, waiter_id waiter);
    hand_over_reply on_hand_over_request(const hand_over_request& request,
                                         time_point now);
    key_effects on_hand_over_reply(const hand_over_reply& reply);
    key_effects on_hand_over_failed(const std::string& key, bool gone);

    bool is_awaited(const std::string& key) const;
    bool awaits_hand_over(const std::string& key) const;

    key_table& table() { return table_; }
    const key_table& table() const { return table_; }
    const member_id& self() const { return self_; }

private:
    // A copy of a request whose key has no record.
    key_decision on_first_copy(const std::string& key,
                               const idempotency_key& parsed,
                               request_fingerprint fingerprint,
                               waiter_id waiter, time_point now);
    key_decision on_first_own_copy(const std::string& key,
                                   const idempotency_key& parsed,
                                   request_fingerprint fingerprint,
                                   time_point now);
    // A copy of a request whose key has a record.
    key_decision on_later_copy(const std::string& key, key_record& record,
                               request_fingerprint fingerprint,
                               waiter_id waiter, time_point now);
    key_decision start_attempt(key_record& record, time_point now);
    key_decision start_hand_over_request(const std::string& key,
                                         key_record& record, waiter_id waiter);

    hand_over_kind reply_without_record(const hand_over_request& request,
                                        time_point now);
    hand_over_kind reply_with_record(const hand_over_request& request,
                                     key_record& record,
                                     hand_over_reply& reply);
    hand_over_kind reply_after_hand_over(const hand_over_request& request,
                                         const key_record& record,
                                         hand_over_reply& reply) const;

    key_effects on_granted(const std::string& key, key_record& record);
    key_effects on_moved(const hand_over_reply& reply, key_record& record);
    key_effects on_refused(const hand_over_reply& reply, key_record& record);
    // Ends a hand-over request that brought no grant.
    key_effects end_hand_over_request(const std::string& key,
                                      key_record& record,
                                      const key_decision& decision,
                                      hand_over_kind kind);

    // Settles every parked copy and replies to every waiting member.
    void settle_all(const std::string& key, key_record& record,
                    const key_decision& decision, hand_over_kind kind,
                    key_effects& effects);
    hand_over_reply reply_to(const hand_over_requester& requester,
                             const std::string& key, hand_over_kind kind) const;
    hand_over_request request_for(const std::string& key,
                                  const key_record& record) const;
    // The outcome is unknown now and may become known later.
    report_unknown unknown_for_now() const;

    member_id self_;
    key_table table_;
    std::uint64_t last_id_ = 0; // of attempts and hand-over requests
};

} // namespace waxwingvale::decision
