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
    // For requests with a target: what work in another data centre loses of an
    // answer's worth, whatever its size and by size, and at most; and what a
    // server loses that is busy for twice the usual time. A download of 90 kB
    // waits for a third of its time before it is sent far.
    double crossing_loss = 0.01;
    double crossing_loss_per_kilobyte = 0.01;
    double crossing_loss_limit = 0.4;
    double longer_work_loss = 0.02;
    // A request with a target waits for a better slot rather than lose more of
    // its answer's worth than that, by being late or far; and by the end of
    // the time that it may wait, so much more.
    double tolerated_loss = 0.2;
    double tolerated_loss_at_last = 0.4;

    // Admission.
    double admission_quantile = 0.98; // of service time, kept before deadlines
    double wait_share = 0.5; // of the time to spare, spent waiting at most
    // Requests with a target are started so many deviations of their service
    // time before it. Later, more of the slots' time goes into answers that
    // miss it; earlier, more requests are taken for late. In waxwing-replay at
    // three times the capacity, four seeds: 1.3 answers 42%
    // (bramblewood-shared) and 40% (cooperative-shared) of all calls in time,
    // 0.7 40% and 37%, and 2.5 33% and 40%.
    double in_time_deviations = 1.3;
    // What a request and its answer take between caller and instance, which
    // the target includes and nobody tells us.
    duration caller_travel{8000};
    // Of the requests that wait, one of so many starts by its urgency alone,
    // whatever its priority: above capacity the highest priorities would else
    // leave the others nothing for as long as it lasts.
    unsigned any_priority_every = 8;
    // Of the slots' time, what late requests and come-backs may count on even
    // when those in time need it all.
    double least_spare_share = 0.05;
    duration appointment_horizon{30000000}; // latest time to come back
    unsigned fairness_window = 8;           // requests a tenant may run ahead

    // Repeated attempts: an owner that has just taken over does not know what
    // the former one allowed, so each allows a part.
    double repeat_extra_share = 0.5;

    // Probes of servers of which nothing is heard: of those that were last
    // seen slowed down, and of others.
    duration slowed_probe_after{60000};
    duration idle_probe_after{200000};
    // And of all servers, as long as little is known of how slow they are and
    // for how long: an owner that takes over when all instances lost power
    // would else take slots of servers that are slowed down for quick ones, and
    // start what it then answers late. On a service of 104 slots that was so
    // for 6 s (prompt slots in requests_turned_down: 79 falling to 33).
    duration learning_probe_after{40000};

    // How often requests are looked at that wait although slots are free,
    // because the servers are too slow: word of these ages meanwhile.
    duration recheck{10000};

    // Grants.
    duration ask_refresh{50000};    // all that waits is named again
    unsigned ask_limit = 64;        // most requests that an owner names at once
    duration ask_lifetime{150000};  // an ask not repeated is forgotten
    duration silence_limit{100000}; // an unanswered ask means out of reach
    duration lease_min{1000000};
    duration lease_max{10000000};
    // With work of its own waiting, an owner gives another owner a slot only
    // for work that is so much more urgent.
    duration owner_urgency_margin{100000};
};

} // namespace waxwingvale::decision
