#include <waxwingvale/decision/unproven_losses.hpp>

#include <utility>

namespace waxwingvale::decision {

namespace {

constexpr std::size_t most_beside_trials = 16;

} // namespace

void unproven_losses::add(unproven_loss loss) {
    if (!loss.of_trial && kept_beside_trials_ == most_beside_trials) {
        return;
    }
    kept_beside_trials_ += loss.of_trial ? 0 : 1;
    kept_.push_back(std::move(loss));
}

void unproven_losses::tell(failure_meaning meaning) {
    kept_beside_trials_ = 0;
    for (const auto& loss : std::exchange(kept_, {})) {
        loss.on_meaning(meaning);
    }
}

} // namespace waxwingvale::decision
