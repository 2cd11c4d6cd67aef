#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include <waxwingvale/decision/reach_monitor.hpp>

namespace waxwingvale::decision {

// A request that was lost while it was open whether servers answer anybody.
struct unproven_loss {
    bool of_trial = false; // its server ran nothing else
    // A server took it after the last check had begun, so that one more check
    // may be answered.
    bool taken_since_check = false;
    std::function<void(failure_meaning)> on_meaning;

    bool deserves_check() const { return of_trial || taken_since_check; }
};

// Keeps losses until a check has told whether servers answer. Of losses that
// are no trials only a few are kept: a request that ends servers comes again,
// while each of hundreds that an outage took would be a suspect of which other
// instances are told.
class unproven_losses {
public:
    void add(unproven_loss loss);
    // Tells what all that are kept mean, and forgets them.
    void tell(failure_meaning meaning);

private:
    std::vector<unproven_loss> kept_;
    std::size_t kept_beside_trials_ = 0;
};

} // namespace waxwingvale::decision
