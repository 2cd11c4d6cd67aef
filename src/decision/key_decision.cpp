#include <waxwingvale/decision/key_decision.hpp>

#include <array>

namespace waxwingvale::decision {
namespace {

// One entry for each alternative of key_decision, in the same order.
struct decision_entry {
    const char* name;
    run_outcome outcome;
};

constexpr std::array<decision_entry, std::variant_size_v<key_decision>> entries{
    {
        {"run", run_outcome::unknown},
        {"join", run_outcome::unknown},
        {"replay", run_outcome::ran},
        {"ran-answer-not-kept", run_outcome::ran},
        {"ask", run_outcome::unknown},
        {"unknown", run_outcome::unknown},
        {"not-run", run_outcome::not_run},
        {"mismatch", run_outcome::not_run},
        {"full", run_outcome::not_run},
        {"expired", run_outcome::unknown},
        {"key-form", run_outcome::not_run},
    }};

constexpr std::array<const char*, 7> hand_over_names{
    "granted", "in_flight", "answered", "moved",
    "unknown", "mismatch",  "expired"};

} // namespace

run_outcome outcome_of(const key_decision& decision) {
    return entries.at(decision.index()).outcome;
}

const char* name_of(const key_decision& decision) {
    return entries.at(decision.index()).name;
}

const char* to_string(hand_over_kind kind) {
    return hand_over_names.at(static_cast<std::size_t>(kind));
}

} // namespace waxwingvale::decision
