#pragma once

#include <map>
#include <string>
#include <vector>

#include <waxwingvale/decision/key_store.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::entry {

// Gets what becomes of requests whose key was not decided at once.
class key_outlet {
public:
    virtual ~key_outlet() = default;
    virtual void settle(decision::waiter_id waiter,
                        const decision::key_decision& decision) = 0;
};

// The request keys of this entry instance: the key store with its clock, and
// its messages to the key stores of other entry instances.
class key_desk {
public:
    key_desk(member_id self, io::message_hub& hub,
             kernel::timer_service& timers, key_outlet& outlet);

    // The outlet's settle() is called with the decision, at once or later.
    void on_request(const std::string& key,
                    decision::request_fingerprint fingerprint,
                    decision::waiter_id waiter);
    void on_finished(const std::string& key, std::uint64_t attempt,
                     run_outcome outcome, decision::answer_ptr answer);
    void on_waiter_gone(const std::string& key, decision::waiter_id waiter);

    // Whether other copies of the request wait for the attempt's outcome.
    bool is_awaited(const std::string& key) const {
        return store_.is_awaited(key);
    }

    void change_limits(const decision::key_limits& limits);
    // Who is there: a holder named by a key whose incarnation is no longer
    // among them has lost its memory, so that asking is useless.
    void change_members(const std::vector<member>& members);

    std::size_t keys() const { return store_.size(); }
    std::size_t answer_bytes() const { return store_.answer_bytes(); }

private:
    struct open_ask {
        decision::hand_over_request request;
        bool in_flight = false; // the peer said so since it was last asked
        kernel::timer_service::subscription timeout;
    };

    void take(const std::vector<std::uint8_t>& bytes);
    void carry_out(const decision::key_effects& effects);
    void send(const decision::hand_over_request& request);
    void send(const decision::hand_over_reply& reply);
    void ask_ended(const decision::hand_over_reply& reply);
    void check_ask(const std::string& key);
    bool is_gone(const member_id& holder) const;

    io::message_hub& hub_;
    kernel::timer_service& timers_;
    key_outlet& outlet_;
    decision::key_store store_;
    std::vector<member> members_;
    std::map<std::string, open_ask> asks_; // by key, one while copies wait
    kernel::timer_service::subscription forgetting_;
};

} // namespace waxwingvale::entry
