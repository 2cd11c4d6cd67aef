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

// How long sums of what servers told are used: their paces last for many times
// as long, and of 268 servers each sum takes some microseconds, for every
// request that is admitted.
constexpr duration estimate_lifetime{2000};

// The slot must be of a server that the request may ever run on.
bool suits(const slot_wish& wish, const backend_slots& server) {
    return wish.request == nullptr || may_run_on(*wish.request, server);
}

// The probability that a normally distributed value lies below that many
// standard deviations: the logistic function, within 0.01 of it and cheap.
double probability_below(double deviations) {
    constexpr double logistic_scale = 1.702;
    return 1.0 / (1.0 + std::exp(-logistic_scale * deviations));
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

// The probability that what the server told of its pace still holds.
double slot_table::word_holds(const backend_slots& server,
                              time_point now) const {
    return server.seen() ? pace_.holds(now - server.seen()->at) : 0.0;
}

double slot_table::expected_slowness(const backend_slots& server,
                                     double holds) const {
    const double told = server.seen() ? server.seen()->load.slowness : 1.0;
    return holds * told + (1.0 - holds) * pace_.mean_slowness();
}

// The answers that are expected in time, as probabilities. Of hundreds of
// servers most told the same pace and run as many requests, so that each
// probability is worked out once for a choice and not for each server. Ten
// seconds of 268 servers at up to 1.6 times their capacity then take 1.9 s of a
// processor and not 4.4 (waxwing-replay, mixed-shared-large, rush).
class slot_table::timeliness {
public:
    timeliness(const work_forecast& forecast, const slowness_process& pace)
        : forecast_(forecast), pace_(pace) {}

    // When the work takes longer than usual by that logarithm.
    double at(double extra_log) {
        return known(told_, extra_log,
                     [this](double extra) { return in_time(extra); });
    }

    // When the server's pace is any of those that its fellows have, and what
    // else slows it down makes it longer by that logarithm.
    double at_any_pace(double extra_log) {
        return known(any_, extra_log, [this](double extra) {
            double sum = 0;
            for (const slowness_process::level& level : pace_.levels()) {
                sum += level.share > negligible_share
                           ? level.share * in_time(extra + level.log_slowness)
                           : 0.0;
            }
            return sum;
        });
    }

private:
    static constexpr double negligible_share = 0.01;
    // Servers that fell behind have a slowness of their own each; past so many
    // different ones, looking them up takes longer than working them out.
    static constexpr std::size_t most_known = 8;

    struct known_value {
        double extra_log;
        double probability;
    };

    double in_time(double extra_log) const {
        return probability_below(
            (forecast_.left_log - forecast_.typical_log - extra_log) /
            forecast_.log_spread);
    }

    template <typename Work>
    static double known(std::vector<known_value>& values, double extra_log,
                        Work work_out) {
        for (const known_value& each : values) {
            if (each.extra_log == extra_log) {
                return each.probability;
            }
        }
        const double probability = work_out(extra_log);
        if (values.size() < most_known) {
            values.push_back({extra_log, probability});
        }
        return probability;
    }

    const work_forecast& forecast_;
    const slowness_process& pace_;
    std::vector<known_value> told_;
    std::vector<known_value> any_;
};

// The probability that an answer comes in time when the work begins there now.
// The server's pace is the one that it told last, or by now any of those that
// its fellows have.
double slot_table::chance(const backend_slots& server, double holds,
                          timeliness& answers) const {
    double extra = crowding_log(server);
    if (server.health().slow()) {
        extra += std::log(server.health().slowness());
    }
    double chance = (1.0 - holds) * answers.at_any_pace(extra);
    if (server.seen()) {
        chance += holds * answers.at(extra + server.seen()->log_slowness);
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
    return typical * slowness *
               crowding_.ratio(server.in_flight() + 1, server.configured()) *
               (1.0 + policy_.load_cost * load) +
           (near ? 0.0 : way);
}

// What is lost, in parts of an answer's worth: by being late, by crossing
// between data centres, by taking more of a server's time than elsewhere.
double slot_table::loss(const backend_slots& server, const slot_wish& wish,
                        double chance, double holds) const {
    const bool near = server.data_centre() == wish.data_centre;
    const double load = static_cast<double>(server.in_flight()) /
                        static_cast<double>(std::max(server.limit(), 1U));
    const double longer =
        expected_slowness(server, holds) *
            crowding_.ratio(server.in_flight() + 1, server.configured()) -
        1.0;
    return 1.0 - chance + (near ? 0.0 : wish.crossing_loss) +
           policy_.longer_work_loss * (longer + policy_.load_cost * load);
}

double slot_table::cost(index place, const slot_wish& wish, timeliness* answers,
                        time_point now) const {
    const backend_slots& server = servers_[place];
    if (server.health().watched() && sampled(server, wish, now)) {
        return 0; // first choice, or it would never be seen to recover
    }
    if (answers == nullptr) {
        return time_cost(place, wish);
    }
    const double holds = word_holds(server, now);
    const double in_time = chance(server, holds, *answers);
    const double lost = loss(server, wish, in_time, holds);
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

// From the next one on: were the first server always preferred among equals,
// nothing would be learned of the others while load is low.
std::optional<slot_table::index> slot_table::choose(const slot_wish& wish,
                                                    time_point now) const {
    return choose_from(wish, now, usable_, turn_);
}

std::optional<slot_table::index>
slot_table::choose(const slot_wish& wish, time_point now,
                   const std::vector<index>& among) const {
    return choose_from(wish, now, among, 0);
}

std::optional<slot_table::index>
slot_table::choose_from(const slot_wish& wish, time_point now,
                        const std::vector<index>& among,
                        std::size_t first) const {
    if (wish.crossing_loss > 0 && !any_near(wish.data_centre)) {
        slot_wish elsewhere = wish;
        elsewhere.crossing_loss = 0; // there is nothing to wait for
        return choose_from(elsewhere, now, among, first);
    }
    std::optional<timeliness> answers;
    if (wish.forecast) {
        answers.emplace(*wish.forecast, pace_);
    }
    std::optional<index> best;
    std::optional<index> fallback;
    double best_cost = std::numeric_limits<double>::max();
    double fallback_cost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < among.size(); ++i) {
        const std::size_t turn = first + i;
        const index place =
            among[turn < among.size() ? turn : turn - among.size()];
        const backend_slots& server = servers_[place];
        const bool alone = !wish.isolated || server.in_flight() == 0;
        const bool ours = !wish.lent || owned_[place];
        if (room(server, now) == 0 || !alone || !ours || !suits(wish, server)) {
            continue;
        }
        const double price =
            cost(place, wish, answers ? &*answers : nullptr, now);
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

bool slot_table::any_room(const std::optional<std::vector<index>>& among,
                          time_point now) const {
    const std::vector<index>& places = among ? *among : usable_;
    return std::any_of(places.begin(), places.end(), [&](index place) {
        return room(servers_[place], now) > 0;
    });
}

bool slot_table::any_idle(time_point now) const {
    return std::any_of(usable_.begin(), usable_.end(), [&](index place) {
        const backend_slots& server = servers_[place];
        return room(server, now) > 0 && working_share(server) > 0;
    });
}

// Asked for with every event, and changed by what ends only.
const slot_table::totals& slot_table::now_total() const {
    if (totals_) {
        return *totals_;
    }
    totals sum;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        sum.working += working_share(server);
        sum.counted += working_share(server) * server.part();
        sum.busy_log_factor =
            std::max(sum.busy_log_factor,
                     crowding_.log_ratio_at_best(server.configured()));
    }
    totals_ = sum;
    return *totals_;
}

unsigned slot_table::working_slots() const {
    return now_total().working;
}

unsigned slot_table::busy_slots() const {
    unsigned sum = 0;
    for (const index place : usable_) {
        sum += servers_[place].in_flight();
    }
    return sum;
}

double slot_table::counted_slots() const {
    return now_total().counted;
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
    return working_share(server) * server.part() *
           std::exp(-crowding_.log_ratio_at_best(server.configured()));
}

double slot_table::busy_log_factor() const {
    return now_total().busy_log_factor;
}

slot_table::estimates slot_table::estimate(time_point now) const {
    double usual_share = 0;
    for (const slowness_process::level& level : pace_.levels()) {
        usual_share +=
            level.log_slowness <= std::log(prompt_slowness) ? level.share : 0;
    }
    estimates made;
    made.at = now;
    for (const index place : usable_) {
        const backend_slots& server = servers_[place];
        const double holds = word_holds(server, now);
        const bool told =
            server.seen() && server.seen()->load.slowness <= prompt_slowness;
        const double prompt =
            holds * (told ? 1.0 : 0.0) + (1.0 - holds) * usual_share;
        const double share = paced_share(server);
        made.prompt += prompt * share;
        made.paced += share / expected_slowness(server, holds);
    }
    return made;
}

const slot_table::estimates& slot_table::estimates_at(time_point now) const {
    if (!estimates_ || now - estimates_->at >= estimate_lifetime) {
        estimates_ = estimate(now);
    }
    return *estimates_;
}

double slot_table::prompt_slots(time_point now) const {
    return estimates_at(now).prompt;
}

double slot_table::paced_slots(time_point now) const {
    return estimates_at(now).paced;
}

} // namespace waxwingvale::decision
