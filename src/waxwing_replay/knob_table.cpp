#include "waxwing_replay/knob_table.hpp"

#include <cstdlib>
#include <variant>

namespace waxwingvale::replay {

namespace {

using decision::scheduling_policy;

using knob_member =
    std::variant<double scheduling_policy::*, duration scheduling_policy::*,
                 unsigned scheduling_policy::*>;

struct knob_entry {
    const char* name;
    knob_member member;
};

const knob_entry knobs_by_name[] = {
    {"slowness_gain", &scheduling_policy::slowness_gain},
    {"straggler_ratio", &scheduling_policy::straggler_ratio},
    {"recovered_ratio", &scheduling_policy::recovered_ratio},
    {"straggler_sample", &scheduling_policy::straggler_sample},
    {"straggler_sample_max", &scheduling_policy::straggler_sample_max},
    {"failure_gain", &scheduling_policy::failure_gain},
    {"failing_share", &scheduling_policy::failing_share},
    {"failing_pause_min", &scheduling_policy::failing_pause_min},
    {"failing_pause_max", &scheduling_policy::failing_pause_max},
    {"failing_patience", &scheduling_policy::failing_server_max_wait},
    {"shed_decrease", &scheduling_policy::shed_decrease},
    {"caution_max", &scheduling_policy::slot_growth_rounds_max},
    {"shed_pause_min", &scheduling_policy::shed_pause_min},
    {"shed_pause_max", &scheduling_policy::shed_pause_max},
    {"other_data_centre_cost", &scheduling_policy::other_data_centre_cost},
    {"load_cost", &scheduling_policy::load_cost},
    {"admission_quantile", &scheduling_policy::admission_quantile},
    {"wait_share", &scheduling_policy::max_queueing_share},
    {"appointment_horizon", &scheduling_policy::retry_horizon},
    {"fairness_window", &scheduling_policy::fairness_window},
    {"ask_refresh", &scheduling_policy::ask_refresh},
    {"ask_limit", &scheduling_policy::ask_limit},
    {"ask_lifetime", &scheduling_policy::ask_lifetime},
    {"silence_limit", &scheduling_policy::silence_limit},
    {"lease_min", &scheduling_policy::lease_min},
    {"lease_max", &scheduling_policy::lease_max},
    {"owner_urgency_margin", &scheduling_policy::owner_urgency_margin},
    {"crossing_loss", &scheduling_policy::crossing_loss},
    {"crossing_loss_per_kilobyte",
     &scheduling_policy::crossing_loss_per_kilobyte},
    {"crossing_loss_limit", &scheduling_policy::crossing_loss_limit},
    {"longer_work_loss", &scheduling_policy::longer_work_loss},
    {"tolerated_loss", &scheduling_policy::tolerated_loss},
    {"tolerated_loss_at_last", &scheduling_policy::tolerated_loss_increase},
    {"in_time_deviations", &scheduling_policy::target_margin_deviations},
    {"caller_travel", &scheduling_policy::caller_network_time},
    {"any_priority_every", &scheduling_policy::urgency_only_interval},
    {"least_spare_share", &scheduling_policy::min_spare_share},
    {"slowed_probe_after", &scheduling_policy::slowed_probe_after},
    {"idle_probe_after", &scheduling_policy::idle_probe_after},
    {"recheck", &scheduling_policy::recheck_interval},
};

void assign(scheduling_policy& knobs, const knob_member& member, double value) {
    if (const auto* real = std::get_if<0>(&member)) {
        knobs.*(*real) = value;
    } else if (const auto* time = std::get_if<1>(&member)) {
        knobs.*(*time) = duration(static_cast<duration::rep>(value));
    } else {
        knobs.*std::get<2>(member) = static_cast<unsigned>(value);
    }
}

error bad_knob(const std::string& setting, const std::string& detail) {
    return {error_code::invalid_argument, "set knob", setting, detail};
}

} // namespace

result<void> set_knob(scheduling_policy& knobs, const std::string& setting) {
    const std::size_t equals = setting.find('=');
    if (equals == std::string::npos) {
        return bad_knob(setting, "expected name=value");
    }
    const std::string name = setting.substr(0, equals);
    const std::string text = setting.substr(equals + 1);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || value < 0) {
        return bad_knob(setting, "the value is no number from 0 up");
    }
    for (const knob_entry& known : knobs_by_name) {
        if (name == known.name) {
            assign(knobs, known.member, value);
            return success();
        }
    }
    return bad_knob(setting, "no knob has that name");
}

std::vector<std::string> knob_names() {
    std::vector<std::string> names;
    for (const knob_entry& known : knobs_by_name) {
        names.emplace_back(known.name);
    }
    return names;
}

} // namespace waxwingvale::replay
