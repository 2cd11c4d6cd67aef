#include <waxwingvale/membership/configuration_proof.hpp>

#include <algorithm>

namespace waxwingvale::membership {

namespace {

// A change is to be in force everywhere 2 s after it was confirmed, and an
// instance looks at its standing every 100 ms.
constexpr duration longest_in_force_delay = std::chrono::milliseconds(1900);
// By then an instance that hears of nobody has asked the platform in vain.
constexpr duration longest_question = std::chrono::seconds(3);
// A file arrives within some milliseconds after word of it. A view for each
// such wait would cost more than it says.
constexpr duration ordinary_file_wait = std::chrono::milliseconds(100);

} // namespace

configuration_standing standing_of(const configuration_signs& signs,
                                   duration max_word_age) {
    const auto tolerated =
        signs.woke_recently ? duration::zero() : ordinary_file_wait;
    if (signs.behind_for && *signs.behind_for >= tolerated) {
        return configuration_standing::superseded;
    }
    if (!signs.word_age || *signs.word_age > max_word_age) {
        return configuration_standing::unconfirmed;
    }
    return configuration_standing::current;
}

bool routes_hold(const configuration_signs& signs, duration max_word_age) {
    if (signs.proof_age && *signs.proof_age <= max_word_age) {
        return true;
    }
    const bool slept = signs.runs_late && signs.platform_answers;
    const bool asks_yet =
        signs.platform_answers || signs.unheard_for < longest_question;
    return !signs.behind_for && !slept && !(signs.unheard_for && asks_yet);
}

duration max_word_age_for(duration watch, duration answer_within) {
    return std::max(longest_in_force_delay, watch + answer_within);
}

} // namespace waxwingvale::membership
