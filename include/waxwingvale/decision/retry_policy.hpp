#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <waxwingvale/decision/attempt_budget.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/outcome.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// An attempt that brought no answer to pass on.
struct failed_attempt {
    request_nature nature = request_nature::at_most_once;
    run_outcome outcome = run_outcome::unknown;
    bool nested = false;   // the request came with Waxwing-Attempt
    unsigned attempts = 1; // made here so far, this one included
    time_point deadline{};
    duration expected{}; // typical time of one more attempt
};

// Try again at another backend server, as this attempt number.
struct retry_elsewhere {
    unsigned attempt = 2;
};

enum class give_up_reason {
    may_have_run, // not retriable and not provably unstarted
    nested,       // the level above retries, or chose not to
    attempts,     // the most attempts were made
    deadline,     // one more would not end in time
    budget        // the service's retries are used up
};

const char* to_string(give_up_reason reason);

// Answer now with what is known; a resend is welcome after come_back_in.
struct give_up {
    give_up_reason reason = give_up_reason::may_have_run;
    duration come_back_in{};
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

struct retry_limits {
    double fraction = 0.1; // of first attempts; from the service's budgets
    double burst = 10;
    unsigned attempts = 3; // most attempts for one request, the first included
    duration come_back_in = std::chrono::milliseconds(200);
};

// Decides for one service whether a failed attempt is repeated.
//
// Only one level of a nested call repeats work: the one whose request came
// without Waxwing-Attempt. The levels below repeat only what provably never
// started, which has done no work anywhere and so multiplies none.
class retry_policy {
public:
    explicit retry_policy(const retry_limits& limits);

    void on_first_attempt() { budget_.on_first_attempt(); }
    // Takes a token from the budget when the answer is retry_elsewhere.
    retry_decision on_failed(const failed_attempt& failed, time_point now);
    // Takes a token for another copy of a request whose answer does not come.
    bool try_spend() { return budget_.try_spend(); }
    void change_fraction(double fraction) { budget_.change_fraction(fraction); }
    const attempt_budget& budget() const { return budget_; }

private:
    std::optional<give_up_reason> obstacle(const failed_attempt& failed,
                                           time_point now) const;

    retry_limits limits_;
    attempt_budget budget_;
};

} // namespace waxwingvale::decision
