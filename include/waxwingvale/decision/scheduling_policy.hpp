#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The knobs of a service_scheduler. Each default has a figure behind it in
// docs/design/slots-and-admission.md.
struct scheduling_policy {
    // Recognising slow backend servers.
    double slowness_gain = 0.125;      // weight of one more answer
    double straggler_ratio = 2.5;      // times the class's usual time
    double recovered_ratio = 1.5;      // and back again
    duration straggler_sample{500000}; // until one read goes to a straggler
    duration straggler_sample_max{4000000}; // while it stays slow

    // Recognising backend servers that fail.
    double failure_gain = 0.125;
    double failing_share = 0.4; // of attempts, before it is passed over
    duration failing_pause_min{250000};
    duration failing_pause_max{30000000};
    // How long a request waits for another owner's slot rather than be run on
    // a backend server that fails.
    duration failing_patience{50000};

    // Slots after a refusal or a start.
    double shed_decrease = 0.7;
    unsigned caution_max = 64; // rounds of answers before one more slot
    duration shed_pause_min{5000};
    duration shed_pause_max{200000};

    // Choice among free slots.
    duration other_data_centre_cost{2000}; // round trip
    double load_cost = 0.25; // of the usual time, when all slots are busy

    // Admission.
    double admission_quantile = 0.98; // of service time, kept before deadlines
    double wait_share = 0.5; // of the time to spare, spent waiting at most
    duration appointment_horizon{30000000}; // latest time to come back
    unsigned fairness_window = 8;           // requests a tenant may run ahead

    // Grants.
    duration ask_refresh{50000};    // a standing ask is repeated
    duration ask_lifetime{150000};  // an ask not repeated is forgotten
    duration silence_limit{100000}; // an unanswered ask means out of reach
    duration lease_min{1000000};
    duration lease_max{10000000};
    // With work of its own waiting, an owner gives a slot only to work that
    // is so much more urgent: of an instance without slots, of an owner.
    duration urgency_margin{5000};
    duration owner_urgency_margin{100000};
    unsigned ask_limit = 64; // most requests asked for at once
};

} // namespace waxwingvale::decision
