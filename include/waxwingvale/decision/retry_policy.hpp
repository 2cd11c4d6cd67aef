#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <waxwingvale/decision/attempt_budget.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// An attempt that ended without an answer for the caller.
struct failed_attempt {
    request_nature nature = request_nature::at_most_once;
    run_outcome outcome = run_outcome::unknown;
    bool nested = false;   // the request came with Waxwing-Attempt
    unsigned attempts = 1; // made by this instance so far, this one included
    time_point deadline{};
    duration expected{}; // typical duration of one more attempt
};

// Retry on another backend server; `attempt` is the number of the new attempt.
struct retry_elsewhere {
    unsigned attempt = 2;
};

enum class give_up_reason {
    may_have_run, // not retriable, and no proof that it never started
    nested,       // retrying is left to the first level of the nested call
    attempts,     // the limit of attempts is reached
    deadline,     // another attempt would not end before the deadline
    budget        // the retry budget of the service is used up
};

const char* to_string(give_up_reason reason);

// Answer the caller now with what is known. The caller may send the request
// again after come_back_in.
struct give_up {
    give_up_reason reason = give_up_reason::may_have_run;
    duration come_back_in{};
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

struct retry_limits {
    double fraction = 0.1; // of first attempts; from the service's budgets
    double burst = 10;     // most tokens of the budget
    unsigned attempts = 3; // per request, the first included
    duration come_back_in = std::chrono::milliseconds(200);
};

// Decides, for one service, whether a failed attempt is retried.
//
// Only one level of a nested call retries: the one that received the request
// without Waxwing-Attempt. Lower levels retry only attempts that provably never
// started. Such an attempt has caused no work on any server, so that retrying
// it multiplies no load.
class retry_policy {
public:
    explicit retry_policy(const retry_limits& limits);

    void on_first_attempt() { budget_.on_first_attempt(); }
    // Takes a token from the budget if the decision is retry_elsewhere.
    retry_decision on_failed(const failed_attempt& failed, time_point now);
    // Takes a token for a second copy of a request that remains unanswered;
    // returns whether there was one.
    bool try_spend() { return budget_.try_spend(); }
    void change_fraction(double fraction) { budget_.change_fraction(fraction); }
    const attempt_budget& budget() const { return budget_; }

private:
    std::optional<give_up_reason>
    reason_against_retry(const failed_attempt& failed, time_point now) const;

    retry_limits limits_;
    attempt_budget budget_;
};

} // namespace waxwingvale::decision
