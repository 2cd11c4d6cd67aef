#pragma once

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Parameters of a service_scheduler. All durations are in microseconds. The
// measurements behind the defaults are in docs/design/slots-and-admission.md.
struct scheduling_policy {
    // Detection of slow backend servers (stragglers).
    double slowness_gain = 0.125; // weight of one answer in the running mean
    // A server becomes a straggler above the first ratio of its service time to
    // the usual time of the class, and stops being one below the second.
    double straggler_ratio = 2.5;
    double recovered_ratio = 1.5;
    // Time until a read is sent to a straggler as a sample, to see whether it
    // has recovered. The time doubles up to the maximum while it stays slow.
    duration straggler_sample{500000};
    duration straggler_sample_max{4000000};

    // Detection of failing backend servers.
    double failure_gain = 0.125; // weight of one attempt in the running mean
    // Share of failed attempts from which a server counts as failing.
    double failing_share = 0.4;
    // Time without requests for a failing server, doubled with each failure.
    duration failing_pause_min{250000};
    duration failing_pause_max{30000000};
    // How long a request waits for another owner's slot rather than run on a
    // failing backend server.
    duration failing_server_max_wait{50000};

    // Usable slots after a backend server refused a request.
    double shed_decrease = 0.7; // factor for the number of usable slots
    // Most rounds of answers that are required before one more slot is used.
    unsigned slot_growth_rounds_max = 64;
    // Time without requests after a refusal, doubled with each refusal.
    duration shed_pause_min{5000};
    duration shed_pause_max{200000};

    // Choice among free slots.
    duration other_data_centre_cost{2000}; // round trip
    // Cost of a server with all slots busy, as a share of the usual time.
    double load_cost = 0.25;
    // For requests with a target, losses as a share of the value of the answer.
    // The crossing losses apply to work in another data centre: a fixed part, a
    // part by size of the answer, and the limit of their sum.
    // longer_work_loss is the cost of occupying a server for twice the usual
    // time. With these values a download of 90 kB waits for a third of its time
    // before it is sent to another data centre.
    double crossing_loss = 0.01;
    double crossing_loss_per_kilobyte = 0.01;
    double crossing_loss_limit = 0.4;
    double longer_work_loss = 0.02;
    // A request with a target waits for a better slot if the expected loss, by
    // lateness or distance, exceeds tolerated_loss. The limit increases with
    // the time waited, by tolerated_loss_increase in total.
    double tolerated_loss = 0.2;
    double tolerated_loss_increase = 0.4;

    // Admission.
    // Quantile of the service time that is kept free before a deadline.
    double admission_quantile = 0.98;
    // Largest share of the time to spare that a request spends in the queue.
    double max_queueing_share = 0.5;
    // A request is late once the time to its target is less than the typical
    // service time plus this many standard deviations. A smaller value spends
    // more slot time on answers that miss their target; a larger one treats
    // more requests as late.
    double target_margin_deviations = 1.3;
    // Network time of a request and its answer between caller and instance. The
    // target includes it, and the instance has no way to measure it.
    duration caller_network_time{8000};
    // One in this many requests is taken from the queue by urgency alone,
    // whatever its priority. Otherwise the highest priorities would leave the
    // others no slot for as long as an overload lasts.
    unsigned urgency_only_interval = 8;
    // Share of slot time that late and returning requests may count on even
    // when the requests in time need all of it.
    double min_spare_share = 0.05;
    // Longest time after which a refused caller is told to send again.
    duration retry_horizon{30000000};
    // How many requests a tenant may be served ahead of its share.
    unsigned fairness_window = 8;

    // Time without a load report after which a server is probed: one that was
    // slowed down in its last report, and any other.
    duration slowed_probe_after{60000};
    duration idle_probe_after{200000};
    // The same for every server while little is known of how much and for how
    // long servers slow down. Without such early probes, an owner that takes
    // over after a power loss of all instances treats slowed servers as quick
    // and starts requests that it then answers late: on a service of 104 slots
    // for 6 s, in which prompt_slots fell from 79 to 33.
    duration learning_probe_after{40000};
    // Time without an answer after which a server that names a limit is probed.
    duration limited_probe_after{2000000};

    // How long a request that must not run twice waits for a fresh view. After
    // a late wake-up a peer's answer takes a round trip.
    duration stale_view_wait{100000};

    // Lateness from which this process counts as having been stopped. A busy
    // one is late by less, and has judged its queue meanwhile.
    duration stop_limit{500000};

    // How often queued requests are compared with all free slots again when the
    // free slots were on servers too slow for them: the load reports of these
    // servers lose validity as they age.
    duration recheck_interval{10000};

    // Slots of other owners.
    duration ask_refresh{50000}; // until all queued requests are named again
    unsigned ask_limit = 64;     // most requests that an owner names at once
    // Time after which an owner drops a peer's request not named again.
    duration ask_lifetime{150000};
    // Time without an answer after which an owner counts as unreachable.
    duration silence_limit{100000};
    duration lease_min{1000000};
    duration lease_max{10000000};
    // While an owner has requests of its own queued, it grants a slot to
    // another owner only if that owner's request is more urgent by this time.
    duration owner_urgency_margin{100000};
};

} // namespace waxwingvale::decision
