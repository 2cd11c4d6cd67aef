#pragma once

#include <functional>
#include <list>
#include <memory>

#include <waxwingvale/control/published_state.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/membership/configuration_register.hpp>

namespace waxwingvale::control {

// Offers configuration files, from wherever they come. One that takes long is
// read a little a turn of the loop, so that requests are served meanwhile, and
// offered at its end. One that is being read is read to its end whatever comes
// after it, so that there is always one that gets in force.
class configuration_intake {
public:
    using outcome_handler = std::function<void(membership::offer_outcome)>;

    configuration_intake(kernel::timer_service& timers,
                         membership::configuration_register& configurations,
                         const published_state& published);

    // Returns the outcome, or `begun`: `then` is told the outcome later.
    membership::offer_outcome offer(configuration_text file,
                                    outcome_handler then);

private:
    struct waiting_file {
        configuration_text text;
        std::unique_ptr<configuration_reading> reading;
        outcome_handler then;
    };

    void read_later();
    void read_on();
    // Tells the outcomes of those that need not be read any more.
    void pass_over_old();
    std::list<waiting_file>::iterator newest();

    kernel::timer_service& timers_;
    membership::configuration_register& configurations_;
    const published_state& published_;
    std::list<waiting_file> waiting_; // the first is being read
    kernel::timer_service::subscription reading_;
};

} // namespace waxwingvale::control
