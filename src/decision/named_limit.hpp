#pragma once

#include <optional>

#include <waxwingvale/model/backend_terms.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Keeps the requests of this instance to one backend server within its part of
// the rate that the server names for all instances together. Does no I/O and
// reads no clock.
class named_limit {
public:
    // Sets what this instance starts with when a limit is first named, as a
    // part (0 to 1) of a request. Instances that hear of the limit at the same
    // time would otherwise all send their first request at the same time, too.
    void set_first_credit(double credit) { first_credit_ = credit; }
    // Sets the part of the limit (0 to 1) that this instance may use.
    void set_share(double share, time_point now);
    // Records the terms of an answer to a request or probe that was sent at the
    // given time. An answer without a limit ends the limit only if it was sent
    // after the limit was last named: one that took long may have been written
    // before.
    void record_answer(const backend_terms& terms, time_point sent_at,
                       time_point now);
    // The same for an answer to a probe. It ends a limit only if probes of the
    // server have named one: not all servers do.
    void record_probe(const backend_terms& terms, time_point sent_at,
                      time_point now);
    void record_start(time_point now);
    // Another process has taken the server's place and has named no limit.
    void clear();

    // Requests per second of this instance, or nothing if there is no limit.
    std::optional<double> rate() const;
    // Time since the server last named its limit, or nothing if there is none.
    std::optional<duration> age(time_point now) const;
    // Number of requests that may be sent now, or nothing if there is no limit.
    std::optional<unsigned> available(time_point now) const;
    // When the next request may be sent, or nothing if one may be sent now or
    // this instance may send none at all.
    std::optional<time_point> next_available(time_point now) const;

private:
    double tokens_at(time_point now) const;
    void refill(time_point now);

    std::optional<double> limit_; // requests per second of all instances
    double share_ = 0;
    double first_credit_ = 0;
    bool named_in_probes_ = false;
    time_point named_at_{};
    // Requests that may be sent, as of refilled_at_.
    double tokens_ = 0;
    time_point refilled_at_{};
};

} // namespace waxwingvale::decision
