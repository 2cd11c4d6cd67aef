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

// How much a key store remembers, and for how long.
struct key_limits {
    duration lifetime = std::chrono::minutes(10); // from the key's issue
    std::size_t keys = 200000;
    std::size_t answer_bytes = std::size_t{256} << 20U; // all answers together
    std::size_t max_answer_bytes = std::size_t{256} << 10U; // one answer
    duration max_ahead = std::chrono::minutes(1);    // issue time in the future
    duration come_back_in = std::chrono::seconds(1); // after "unknown"
};

// Remembers request keys so that a request with a key runs at most once over
// all entry instances together, without shared state.
//
// The right to run a key lies with the member incarnation that the key names
// until that member hands it over; it exists once, and whoever has no proof of
// holding it never runs the key. See docs/design/request-keys.md.
//
// Everything is told to it, the time included; time must not run backwards.
class key_store {
public:
    // `self` must be an incarnation that no other process ever had: one whose
    // memory was lost, or is elsewhere, must not be taken for this one.
    key_store(member_id self, time_point started, const key_limits& limits);
    key_store(key_store&&) noexcept;
    key_store& operator=(key_store&&) noexcept;
    ~key_store();

    // A copy of a request arrives. `key` is the whole Idempotency-Key.
    key_decision on_request(const std::string& key,
                            request_fingerprint fingerprint, waiter_id waiter,
                            time_point now);

    // The attempt that run_here began has ended. `ran` needs the answer, and
    // `not_run` needs the proof that nothing started. `unknown` may be followed
    // by a second call with `ran` or `not_run` for the same attempt when word
    // comes late. The copy that ran is not among the settled ones.
    key_effects on_finished(const std::string& key, std::uint64_t attempt,
                            run_outcome outcome, answer_ptr answer,
                            time_point now);

    // A parked copy's caller has gone, or its deadline has passed.
    void on_waiter_gone(const std::string& key, waiter_id waiter);

    // A peer asks for a key. The one message to send back is in the effects.
    key_effects on_hand_over_request(const hand_over_request& request,
                                     time_point now);

    // A peer's reply. Copies that are late, doubled or meant for a former
    // incarnation have no effect.
    key_effects on_hand_over_reply(const hand_over_reply& reply,
                                   time_point now);

    // The member asked cannot be reached, or did not reply in time. With
    // `gone` the incarnation named is known to have ended, so that asking
    // again is useless.
    key_effects on_hand_over_failed(const std::string& key, bool gone,
                                    time_point now);

    // Forgets what has expired. Called at least every few seconds.
    void tick(time_point now);

    // Limits from a newer configuration. A longer lifetime does not make keys
    // good again that were forgotten before.
    void change_limits(const key_limits& limits);

    // The prefix for keys that this member remembers, to hand to callers.
    std::string prefix(time_point now) const;

    // Whether copies of that key are parked until a peer replies. While they
    // are, ask again now and then: asking twice does no harm, and a peer that
    // has died after "in flight" is noticed by its silence.
    bool asking(const std::string& key) const;

    const member_id& self() const;
    std::size_t size() const;         // keys remembered
    std::size_t answer_bytes() const; // answers kept, in bytes

private:
    std::unique_ptr<key_protocol> protocol_;
};

} // namespace waxwingvale::decision
