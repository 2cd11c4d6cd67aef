#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/decision/key_decision.hpp>
#include <waxwingvale/decision/key_messages.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

class key_protocol;

// How much a key store records, and for how long.
struct key_limits {
    duration lifetime = std::chrono::minutes(10); // from the issue of a key
    std::size_t keys = 200000;
    std::size_t answer_bytes = std::size_t{256} << 20U;     // total
    std::size_t max_answer_bytes = std::size_t{256} << 10U; // each
    // How far in the future the issue time of a key may lie.
    duration max_issued_ahead = std::chrono::minutes(1);
    // When a caller that was told "unknown" or "not run" may retry.
    duration retry_after = std::chrono::seconds(1);
};

// Records idempotency keys so that a request with a key runs at most once
// across all entry instances, without shared state.
//
// The right to run a request belongs to the member incarnation that its key
// names, until that member hands the right over to another. The right exists
// once, and a member that cannot prove to have it does not run the request. See
// docs/design/request-keys.md.
//
// The class does no I/O and reads no clock: its user passes in all events and
// the current time, which must not run backwards.
class key_store {
public:
    // `self` must be an incarnation that no other process has ever had.
    // Otherwise this store would accept keys whose records were lost with
    // another process or are held by it.
    key_store(member_id self, time_point started, const key_limits& limits);
    key_store(key_store&&) noexcept;
    key_store& operator=(key_store&&) noexcept;
    ~key_store();

    // A copy of a request arrives. `key` is the complete Idempotency-Key.
    key_decision on_request(const std::string& key,
                            request_fingerprint fingerprint, waiter_id waiter,
                            time_point now);

    // The attempt started by run_here has ended. `ran` requires the answer, and
    // `not_run` requires proof that the request did not start. `unknown` may be
    // followed by a second call with `ran` or `not_run` for the same attempt if
    // its outcome becomes known later. The settled copies do not include the
    // copy that started the attempt.
    key_effects on_finished(const std::string& key, std::uint64_t attempt,
                            run_outcome outcome, answer_ptr answer,
                            time_point now);

    // The caller of a parked copy has disconnected, or its deadline has passed.
    void on_waiter_gone(const std::string& key, waiter_id waiter);

    // A peer requests a hand-over. The effects contain exactly one message, the
    // reply.
    key_effects on_hand_over_request(const hand_over_request& request,
                                     time_point now);

    // A peer replies to a hand-over request. Late or duplicated replies and
    // replies to a previous incarnation have no effect.
    key_effects on_hand_over_reply(const hand_over_reply& reply,
                                   time_point now);

    // The member that was asked for a hand-over cannot be reached or did not
    // reply in time. `gone` means that this incarnation is known to have ended,
    // so that repeating the request would be useless.
    key_effects on_hand_over_failed(const std::string& key, bool gone,
                                    time_point now);

    // Removes expired records. Must be called at least every few seconds.
    void tick(time_point now);

    // Applies the limits of a newer configuration. A longer lifetime does not
    // make keys valid again whose records have already been removed.
    void change_limits(const key_limits& limits);

    // Returns the prefix of keys that this member holds, to be given to
    // callers.
    std::string prefix(time_point now) const;

    // Whether copies of that key are parked until a peer replies. While this
    // holds, the hand-over request should be repeated from time to time: a
    // repetition does no harm, and it reveals a peer that died after it replied
    // "in flight".
    bool awaits_hand_over(const std::string& key) const;

    // Whether copies of that key, here or at other members, wait for the
    // outcome of the attempt that runs.
    bool is_awaited(const std::string& key) const;

    const member_id& self() const;
    std::size_t size() const;         // number of recorded keys
    std::size_t answer_bytes() const; // memory of the stored answers, in bytes

private:
    std::unique_ptr<key_protocol> protocol_;
};

} // namespace waxwingvale::decision
