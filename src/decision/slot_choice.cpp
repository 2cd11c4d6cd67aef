// The part of slot_table that chooses among free slots.

#include <algorithm>
#include <cmath>
#include <limits>

#include "decision/slot_table.hpp"

namespace waxwingvale::decision {

namespace {

// A request that must not run twice is the sample for a failing server only
// when no harmless one came by for so long: it may end as unknown.
constexpr duration write_sample_delay{2000000};

bool excludes(const slot_wish& wish, const std::string& name) {
    return wish.excluded != nullptr &&
           std::find(wish.excluded->begin(), wish.excluded->end(), name) !=
               wish.excluded->end();
}

// The probability that a normally distributed value lies below that many
// standard deviations: the logistic function, within 0.01 of it and cheap.
double probability_below(double deviations) {
    constexpr double logistic_scale = 1.702;
    return 1.0 / (1.0 + std::exp(-logistic_scale * deviations));
}

double probability_in_time(const work_forecast& forecast, double extra_log) {
    return probability_below(
        (forecast.left_log - forecast.typical_log - extra_log) /
        forecast.log_spread);
}

bool shut(const backend_slots& server) {
    return server.health().failing() || server.silent();
}

} // namespace

// Failing and silent servers are shut out only while they are the minority:
// when most fail, the fault is more likely in the requests or in what all
// depend on.
bool slot_table::shuts_out_failing() const {
    std::size_t failing = 0;
    std::size_t serving = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        serving += server.vetoed() ? 0 : 1;
        failing += !server.vetoed() && shut(server) ? 1 : 0;
    }
    return failing * 2 <= serving;
}

bool slot_table::sampled(const backend_slots& server, const slot_wish& wish,
                         time_point now) const {
    return server.health().sample_due(
        wish.may_sample ? now : now - write_sample_delay);
}

bool slot_table::admits(const backend_slots& server, const slot_wish& wish,
                        time_point now) const {
    if (server.silent()) {
        return false; // probes go on, and tell when it is back
    }
    if (server.health().failing()) {
        return sampled(server, wish, now);
    }
    if (!server.health().straggler() || sampled(server, wish, now)) {
        return true;
    }
    // A slow slot is worth its while once waiting for the others would take
    // longer than the slow answer.
    const double extra = (server.health().slowness() - 1.0) *
                         static_cast<double>(wish.typical.count());
    return static_cast<double>(wish.backlog.count()) > extra;
}

double slot_table::crowding_log(const backend_slots& server) const {
    return crowding_.log_ratio(server.in_flight() + 1, server.configured());
}

double slot_table::expected_log_factor(index place) const {
    const backend_slots& server = servers_[place];
    const double told = server.seen() ? server.seen()->load.slowness : 1.0;
    const double residual =
        server.health().slow() ? server.health().slowness() : 1.0;
    return crowding_log(server) + std::log(told * residual);
}

double slot_table::expected_slowness(const backend_slots& server,
                                     time_point now) const {
    if (!server.seen()) {
        return pace_.mean_slowness();
    }
    const double holds = pace_.holds(now - server.seen()->at);
    return holds * server.seen()->load.slowness +
           (1.0 - holds) * pace_.mean_slowness();
}

// The probability that an answer comes in time when the work begins there now.
// The server's pace is the one that it told last, or by now any of those that
// its fellows have.
double slot_table::chance(const backend_slots& server,
                          const work_forecast& forecast, time_point now) const {
    double extra = crowding_log(server);
    if (server.health().slow()) {
        extra += std::log(server.health().slowness());
    }
    double holds = 0;
    double chance = 0;
    if (server.seen()) {
        holds = pace_.holds(now - server.seen()->at);
        const double told = std::log(server.seen()->load.slowness);
        chance = holds * probability_in_time(forecast, extra + told);
    }
    constexpr double negligible_share = 0.01;
    for (const slowness_process::level& level : pace_.levels()) {
        if (level.share > negligible_share) {
            chance += (1.0 - holds) * level.share *
                      probability_in_time(forecast, extra + level.log_slowness);
        }
    }
    return chance;
}

double slot_table::time_cost(index place, const slot_wish& wish) const {
    const backend_slots& server = servers_[place];
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double slowness =
        server.health().slow() ? server.health().slowness() : 1.0;
    const auto typical = static_cast<double>(wish.typical.count());
    const auto way =
        static_cast<double>(policy_.other_data_centre_cost.count());
    const bool near = server.data_centre() == wish.data_centre;
    return typical * slowness * std::exp(crowding_log(server)) *
               (1.0 + policy_.load_cost * load) +
           (near ? 0.0 : way);
}

// What is lost, in parts of an answer's worth: by being late, by crossing
// between data centres, by taking more of a server's time than elsewhere.
double slot_table::loss(index place, const slot_wish& wish, double chance,
                        time_point now) const {
    const backend_slots& server = servers_[place];
    const bool near = server.data_centre() == wish.data_centre;
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double longer =
        expected_slowness(server, now) * std::exp(crowding_log(server)) - 1.0;
    return 1.0 - chance + (near ? 0.0 : wish.crossing_loss) +
           policy_.longer_work_loss * (longer + policy_.load_cost * load);
}

double slot_table::cost(index place, const slot_wish& wish,
                        time_point now) const {
    const backend_slots& server = servers_[place];
    if (server.health().watched() && sampled(server, wish, now)) {
        return 0; // first choice, or it would never be seen to recover
    }
    if (!wish.forecast) {
        return time_cost(place, wish);
    }
    const double in_time = chance(server, *wish.forecast, now);
    const double lost = loss(place, wish, in_time, now);
    // Rather than work for an answer that will be late, or is sent far, the
    // request waits for a better slot while there is still time for one.
    return lost > wish.tolerated_loss ? std::numeric_limits<double>::infinity()
                                      : lost;
}

bool slot_table::only_passed_over() const {
    return working_slots() == 0;
}

// Slots in use beyond the number that does the most work are left free.
unsigned slot_table::room(const backend_slots& server, time_point now) const {
    const unsigned best = crowding_.best_count(server.configured());
    return server.in_flight() >= best ? 0 : server.free(now);
}

// Whether some server works in that data centre at all.
bool slot_table::any_near(const std::string& data_centre) const {
    return std::any_of(usable_.begin(), usable_.end(), [&](index place) {
        const backend_slots& server = servers_[place];
        return server.data_centre() == data_centre && working_share(server) > 0;
    });
}

std::optional<slot_table::index> slot_table::choose(const slot_wish& wish,
                                                    time_point now) const {
    if (wish.crossing_loss > 0 && !any_near(wish.data_centre)) {
        slot_wish elsewhere = wish;
        elsewhere.crossing_loss = 0; // there is nothing to wait for
        return choose(elsewhere, now);
    }
    std::optional<index> best;
    std::optional<index> fallback;
    double best_cost = std::numeric_limits<double>::max();
    double fallback_cost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < usable_.size(); ++i) {
        // From the next one on: were the first server always preferred among
        // equals, nothing would be learned of the others while load is low.
        const std::size_t turn = turn_ + i;
        const index place =
            usable_[turn < usable_.size() ? turn : turn - usable_.size()];
        const backend_slots& server = servers_[place];
        const bool alone = !wish.isolated || server.in_flight() == 0;
        const bool ours = !wish.lent || owned_[place];
        if (room(server, now) == 0 || !alone || !ours ||
            excludes(wish, server.name())) {
            continue;
        }
        const double price = cost(place, wish, now);
        const bool admitted = admits(server, wish, now);
        if (admitted && price < best_cost) {
            best = place;
            best_cost = price;
        } else if (!admitted && price < fallback_cost) {
            fallback = place;
            fallback_cost = price;
        }
    }
    if (best || !fallback) {
        return best;
    }
    // An owner whose servers all fail would take every error for itself while
    // other owners' servers are well.
    if (wish.patient && shut(servers_[*fallback])) {
        return std::nullopt;
    }
    const bool nothing_better = !shuts_out_failing() || only_passed_over();
    return nothing_better ? fallback : std::nullopt;
}

unsigned slot_table::working_share(const backend_slots& server) const {
    const bool works = !shut(server) && !server.health().straggler();
    const unsigned best = crowding_.best_count(server.configured());
    return works ? std::min(server.limit(), best) : 0;
}

unsigned slot_table::working_slots() const {
    unsigned sum = 0;
    for (const index place : usable_) {
        sum += working_share(servers_[place]);
    }
    return sum;
}

unsigned slot_table::idle_slots(time_point now) const {
    unsigned sum = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        sum += working_share(server) > 0 ? room(server, now) : 0;
    }
    return sum;
}

// The same in slots of servers that are not crowded.
double slot_table::paced_share(const backend_slots& server) const {
    return working_share(server) *
           std::exp(-crowding_.log_ratio_at_best(server.configured()));
}

double slot_table::busy_log_factor() const {
    double most = 0;
    for (const index place : usable_) {
        const unsigned slots = servers_[place].configured();
        most = std::max(most, crowding_.log_ratio_at_best(slots));
    }
    return most;
}

double slot_table::prompt_slots(time_point now) const {
    double usual_share = 0;
    for (const slowness_process::level& level : pace_.levels()) {
        usual_share +=
            level.log_slowness <= std::log(prompt_slowness) ? level.share : 0;
    }
    double sum = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        double prompt = usual_share;
        if (server.seen()) {
            const double holds = pace_.holds(now - server.seen()->at);
            const bool told = server.seen()->load.slowness <= prompt_slowness;
            prompt = holds * (told ? 1.0 : 0.0) + (1.0 - holds) * usual_share;
        }
        sum += prompt * paced_share(server);
    }
    return sum;
}

double slot_table::paced_slots(time_point now) const {
    double sum = 0;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        sum += paced_share(server) / expected_slowness(server, now);
    }
    return sum;
}

} // namespace waxwingvale::decision
