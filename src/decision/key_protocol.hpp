#pragma once

#include <cstdint>
#include <string>

#include "decision/key_memory.hpp"
#include "decision/key_record.hpp"

#include <waxwingvale/decision/key_decision.hpp>
#include <waxwingvale/decision/request_key.hpp>

namespace waxwingvale::decision {

// The rules by which a key store lets a key run, answers copies and hands keys
// over. The right to run a key is a token: it begins at the member that the
// key names, and moves by a grant that is tied to one asking.
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

    bool asking(const std::string& key) const;

    key_memory& memory() { return memory_; }
    const key_memory& memory() const { return memory_; }
    const member_id& self() const { return self_; }

private:
    // A copy for which no record is there.
    key_decision first_copy(const std::string& key, const request_key& parsed,
                            request_fingerprint fingerprint, waiter_id waiter,
                            time_point now);
    key_decision first_own_copy(const std::string& key,
                                const request_key& parsed,
                                request_fingerprint fingerprint,
                                time_point now);
    // A copy for which a record is there.
    key_decision next_copy(const std::string& key, key_record& record,
                           request_fingerprint fingerprint, waiter_id waiter,
                           time_point now);
    key_decision begin_run(key_record& record, time_point now);
    key_decision begin_asking(const std::string& key, key_record& record,
                              waiter_id waiter);

    hand_over_kind first_asked(const hand_over_request& request,
                               time_point now);
    hand_over_kind asked_again(const hand_over_request& request,
                               key_record& record, hand_over_reply& reply);
    hand_over_kind asked_after_hand_over(const hand_over_request& request,
                                         const key_record& record,
                                         hand_over_reply& reply) const;

    key_effects on_granted(const std::string& key, key_record& record);
    key_effects on_moved(const hand_over_reply& reply, key_record& record);
    key_effects on_refused(const hand_over_reply& reply, key_record& record);
    // Ends an asking that brought no grant.
    key_effects end_asking(const std::string& key, key_record& record,
                           const key_decision& decision, hand_over_kind kind);

    // Settles every parked copy and tells every waiting member.
    void settle_all(const std::string& key, key_record& record,
                    const key_decision& decision, hand_over_kind kind,
                    key_effects& effects);
    hand_over_reply reply_to(const key_asker& asker, const std::string& key,
                             hand_over_kind kind) const;
    hand_over_request request_for(const std::string& key,
                                  const key_record& record) const;
    report_unknown unknown_for_now() const;

    member_id self_;
    key_memory memory_;
    std::uint64_t last_number_ = 0; // of attempts and askings
};

} // namespace waxwingvale::decision
