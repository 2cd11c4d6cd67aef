#pragma once

#include <algorithm>
#include <optional>

#include "decision/cold_rate_limiter.hpp"
#include "decision/named_limit.hpp"
#include <waxwingvale/decision/scheduling_policy.hpp>

namespace waxwingvale::decision {

// Decides what this instance may send to one backend server now, whatever
// slots are free there: nothing while the server leaves, is dead or has just
// refused a request, and no more than it takes while it is cold or names a
// limit. Every request and probe passes here before it is sent.
class send_limits {
public:
    // Unavailable servers (leaving or dead) get no requests. A server that has
    // said that it leaves is unavailable whatever the view tells.
    void set_unavailable(bool unavailable) { unavailable_ = unavailable; }
    bool unavailable() const { return unavailable_ || leaving_; }

    cold_rate_limiter& cold() { return cold_; }
    const cold_rate_limiter& cold() const { return cold_; }
    named_limit& named() { return named_; }
    const named_limit& named() const { return named_; }

    // Records the terms of an answer to a request or probe that was sent at the
    // given time.
    void record_answer(const backend_terms& terms, time_point sent_at,
                       time_point now);
    void record_probe_answer(const backend_terms& terms, time_point sent_at,
                             time_point now);

    // The server wants nothing from this instance for that long. Unlike the
    // other limits, it says nothing of slots that are lent to other instances.
    void rest(duration wanted, time_point now) {
        rests_until_ = std::max(rests_until_, now + wanted);
    }
    time_point rests_until() const { return rests_until_; }
    bool rests(time_point now) const { return now < rests_until_; }

    // A server that has just refused a request would probably refuse the next
    // one, too, and each refusal costs the request a round trip. The pause
    // doubles until a request is answered.
    void pause(time_point now, const scheduling_policy& policy);
    void end_pause() { pause_ = duration::zero(); }

    // How many of the given number of requests may be sent now.
    unsigned available(unsigned wanted, time_point now) const;
    // Whether a probe may be sent now: not while the server rests. A server
    // with a limit is probed only if no answer has told of it lately, since the
    // probe counts towards it.
    bool may_probe(time_point now, const scheduling_policy& policy) const;
    // The earliest time after now at which more may be sent, if any is known.
    std::optional<time_point> next_change(time_point now) const;

    void record_start(time_point now);
    void record_probe(time_point now) { named_.record_start(now); }

    // Another process has taken the server's place: what the previous one
    // answered does not apply.
    void clear_answers();

private:
    bool unavailable_ = false;
    bool leaving_ = false;
    duration pause_{};
    time_point paused_until_{};
    time_point rests_until_{};
    cold_rate_limiter cold_;
    named_limit named_;
};

} // namespace waxwingvale::decision
