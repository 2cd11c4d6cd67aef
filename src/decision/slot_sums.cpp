// Sums over slots, and estimates of their speed, of slot_table.

#include <algorithm>
#include <cmath>

#include "decision/slot_table.hpp"

namespace waxwingvale::decision {

namespace {

// Lifetime of cached sums over load reports. The slowness of servers lasts many
// times as long, and computing a sum over 268 servers takes some microseconds,
// for each admitted request.
constexpr duration estimate_lifetime{2000};

} // namespace

unsigned slot_table::working_slots_of(const backend_slots& server) const {
    const bool works =
        !server.excluded() &&
        (!server.health().straggler() || current_totals().needs_stragglers);
    return works ? best_slots(server) : 0;
}

// Returns the slots with which the server has its highest throughput.
unsigned slot_table::best_slots(const backend_slots& server) const {
    return std::min(server.limit(),
                    contention_.best_concurrency(server.configured()));
}

bool slot_table::any_free(const std::optional<std::vector<index>>& among,
                          time_point now) const {
    const std::vector<index>& places = among ? *among : usable_;
    return std::any_of(places.begin(), places.end(), [&](index place) {
        return usable_slots(servers_[place], now) > 0;
    });
}

bool slot_table::any_working_slot_free(time_point now) const {
    return std::any_of(usable_.begin(), usable_.end(), [&](index place) {
        const backend_slots& server = servers_[place];
        return usable_slots(server, now) > 0 && working_slots_of(server) > 0;
    });
}

// Cached, because the sums are needed for each event but change only when an
// attempt or a probe ends or the view changes.
const slot_table::totals& slot_table::current_totals() const {
    if (totals_) {
        return *totals_;
    }
    totals sum;
    totals stragglers;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        sum.saturated_log_slowdown =
            std::max(sum.saturated_log_slowdown,
                     contention_.log_slowdown_at_best(server.configured()));
        if (server.excluded()) {
            continue;
        }
        totals& its = server.health().straggler() ? stragglers : sum;
        its.working += best_slots(server);
        its.weighted +=
            reliable_slots(server, best_slots(server)) /
            (server.health().straggler() ? server.health().slowness() : 1.0);
    }
    // Where the other servers take little, for the limits that they name or
    // since they are few, requests would be refused beside idle stragglers.
    sum.needs_stragglers = stragglers.weighted > sum.weighted;
    if (sum.needs_stragglers) {
        sum.working += stragglers.working;
        sum.weighted += stragglers.weighted;
    }
    totals_ = sum;
    return *totals_;
}

unsigned slot_table::working_slots() const {
    return current_totals().working;
}

unsigned slot_table::busy_slots() const {
    unsigned sum = 0;
    for (const index place : usable_) {
        sum += servers_[place].in_flight();
    }
    return sum;
}

double slot_table::weighted_slots() const {
    return current_totals().weighted;
}

unsigned slot_table::idle_slots(time_point now) const {
    unsigned sum = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        sum += working_slots_of(server) > 0 ? usable_slots(server, now) : 0;
    }
    return sum;
}

// Returns those of the slots that this instance can rely on, at the rate that
// the limit named by the server leaves it.
double slot_table::reliable_slots(const backend_slots& server,
                                  double slots) const {
    return server.usable_slots(slots * server.fair_share(), service_time_);
}

// The same of the working slots, divided by the slowdown by contention.
double slot_table::normalized_share(const backend_slots& server) const {
    return reliable_slots(
        server,
        working_slots_of(server) *
            std::exp(-contention_.log_slowdown_at_best(server.configured())));
}

double slot_table::saturated_log_slowdown() const {
    return current_totals().saturated_log_slowdown;
}

slot_table::estimates slot_table::estimate(time_point now) const {
    double normal_speed_share = 0;
    for (const slowness_model::level& level : slowness_model_.levels()) {
        normal_speed_share +=
            level.log_slowness <= std::log(max_normal_slowness) ? level.share
                                                                : 0;
    }
    estimates result;
    result.at = now;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        const double report_valid = report_validity(server, now);
        const bool reported_normal =
            server.last_load() &&
            server.last_load()->load.slowness <= max_normal_slowness;
        const double normal_speed =
            report_valid * (reported_normal ? 1.0 : 0.0) +
            (1.0 - report_valid) * normal_speed_share;
        const double share = normalized_share(server);
        result.normal_speed += normal_speed * share;
        result.normalized += share / expected_slowness(server, report_valid);
    }
    return result;
}

const slot_table::estimates& slot_table::estimates_at(time_point now) const {
    if (!estimates_ || now - estimates_->at >= estimate_lifetime) {
        estimates_ = estimate(now);
    }
    return *estimates_;
}

double slot_table::prompt_slots(time_point now) const {
    return estimates_at(now).normal_speed;
}

double slot_table::normalized_slots(time_point now) const {
    return estimates_at(now).normalized;
}

} // namespace waxwingvale::decision
