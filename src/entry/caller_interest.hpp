#pragma once

#include <waxwingvale/forwarding/backend_pool.hpp>

#include "entry/call_record.hpp"
#include "entry/key_desk.hpp"

namespace waxwingvale::entry {

// Decides what is done for the caller of a call. Whatever reaches a backend
// server asks may_send() right before: a request may have waited unread, for a
// key, for a slot, for a connection or between two attempts, and its caller's
// close may lie in a socket that this process has not come to read.
class caller_interest {
public:
    caller_interest(const forwarding::backend_pool& pool, const key_desk& keys)
        : pool_(pool), keys_(keys) {}

    // Whether anything may be sent for the call at this moment.
    bool may_send(const call_record& call) const;
    // Whether what runs for a caller that has left is left to end.
    bool must_end(const call_record& call) const;
    // What is known of its runs if it is broken off now.
    run_outcome outcome_if_dropped(const call_record& call) const;

private:
    bool others_wait(const call_record& call) const;
    bool sent(const std::optional<running_attempt>& attempt) const;

    const forwarding::backend_pool& pool_;
    const key_desk& keys_;
};

} // namespace waxwingvale::entry
