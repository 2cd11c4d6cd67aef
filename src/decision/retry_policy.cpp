#include <waxwingvale/decision/retry_policy.hpp>

#include <array>
#include <cstddef>

namespace waxwingvale::decision {

const char* to_string(give_up_reason reason) {
    constexpr std::array<const char*, 5> names{
        "may-have-run", "nested", "attempts", "deadline", "budget"};
    return names.at(static_cast<std::size_t>(reason));
}

retry_policy::retry_policy(const retry_limits& limits)
    : limits_(limits), budget_(limits.fraction, limits.burst) {}

std::optional<give_up_reason>
retry_policy::reason_against_retry(const failed_attempt& failed,
                                   time_point now) const {
    const bool unstarted = failed.outcome == run_outcome::not_run;
    if (!unstarted && failed.nature == request_nature::at_most_once) {
        return give_up_reason::may_have_run;
    }
    if (!unstarted && failed.nested) {
        return give_up_reason::nested;
    }
    if (failed.attempts >= limits_.attempts) {
        return give_up_reason::attempts;
    }
    if (now + failed.expected >= failed.deadline) {
        return give_up_reason::deadline;
    }
    return std::nullopt;
}

retry_decision retry_policy::on_failed(const failed_attempt& failed,
                                       time_point now) {
    if (const auto reason = reason_against_retry(failed, now)) {
        return give_up{*reason, limits_.come_back_in};
    }
    if (!budget_.try_spend()) {
        return give_up{give_up_reason::budget, limits_.come_back_in};
    }
    return retry_elsewhere{failed.attempts + 1};
}

} // namespace waxwingvale::decision
