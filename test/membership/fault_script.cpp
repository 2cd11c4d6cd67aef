#include "fault_script.hpp"

#include <utility>

namespace waxwingvale {

namespace {

using namespace std::chrono_literals;

constexpr duration min_fault_duration = 500ms;
constexpr duration max_fault_duration = 12s;
constexpr duration min_fault_pause = 300ms;
constexpr duration max_fault_pause = 4s;
constexpr duration min_freeze = 600ms;
constexpr duration max_freeze = 3s;
constexpr duration max_answer_delay = 150ms; // in each direction
constexpr duration max_staleness = 4s;
constexpr duration min_start_delay = 200ms;
constexpr duration max_start_delay = 1s;
constexpr duration restart_interval = 1500ms;

} // namespace

const char* name_of(fleet_fault fault) {
    static constexpr const char* names[fleet_fault_count] = {
        "rolling_restart",
        "restart_reader",
        "freeze_some",
        "freeze_reader",
        "partition",
        "platform_unavailable_to_reader",
        "platform_unavailable_to_some",
        "platform_unavailable_to_all",
        "slow_platform",
        "stale_answers",
        "history_truncated",
        "links_replaced",
        "links_drop_messages"};
    return names[static_cast<unsigned>(fault)];
}

fault_script::fault_script(fleet_simulation& fleet,
                           duration min_publish_interval,
                           duration max_publish_interval)
    : fleet_(fleet),
      min_publish_interval_(min_publish_interval),
      max_publish_interval_(max_publish_interval),
      next_publication_at_(fleet.now()),
      next_fault_at_(fleet.now()) {}

void fault_script::choose_from(std::vector<fleet_fault> faults) {
    faults_ = std::move(faults);
}

duration fault_script::random_between(duration min, duration max) {
    return min + fleet_.random_within(max - min);
}

void fault_script::pass(duration time) {
    const auto end = fleet_.now() + time;
    while (fleet_.now() < end) {
        publish_if_due();
        restart_if_due();
        end_if_due();
        if (!fault_active_ && !faults_.empty() &&
            fleet_.now() >= next_fault_at_) {
            inject_random();
        }
        fleet_.run_for(20ms);
    }
}

void fault_script::inject_random() {
    fault_active_ = true;
    fault_ends_at_ =
        fleet_.now() + random_between(min_fault_duration, max_fault_duration);
    const auto fault_count = 1 + fleet_.random_below(2);
    for (unsigned each = 0; each < fault_count; ++each) {
        inject(faults_[fleet_.random_below(
            static_cast<unsigned>(faults_.size()))]);
    }
}

void fault_script::publish_if_due() {
    if (fleet_.now() >= next_publication_at_) {
        fleet_.publish_configuration();
        next_publication_at_ =
            fleet_.now() +
            random_between(min_publish_interval_, max_publish_interval_);
    }
}

void fault_script::restart_if_due() {
    if (!to_restart_.empty() && fleet_.now() >= next_restart_at_) {
        const auto number = to_restart_.back();
        to_restart_.pop_back();
        if (fleet_.standing(number).running) {
            fleet_.kill(number);
            fleet_.start(number,
                         random_between(min_start_delay, max_start_delay));
        }
        next_restart_at_ = fleet_.now() + restart_interval;
    }
}

void fault_script::end_if_due() {
    if (fault_active_ && fleet_.now() >= fault_ends_at_) {
        end_faults();
        next_fault_at_ =
            fleet_.now() + random_between(min_fault_pause, max_fault_pause);
    }
}

void fault_script::end_faults() {
    fault_active_ = false;
    fleet_.heal();
    fleet_.let_platform_answer([](unsigned) { return true; });
    fleet_.platform().set_delay(simulated_platform::usual_delay);
    fleet_.platform().set_staleness(duration::zero());
}

std::set<unsigned> fault_script::random_instances() {
    std::set<unsigned> chosen;
    const auto count = 1 + fleet_.random_below(1 + fleet_.instances() / 3);
    while (chosen.size() < count) {
        chosen.insert(fleet_.random_below(fleet_.instances()));
    }
    return chosen;
}

unsigned fault_script::current_reader() {
    for (unsigned each = 0; each < fleet_.instances(); ++each) {
        if (fleet_.standing(each).reads) {
            return each;
        }
    }
    return 0;
}

void fault_script::make_platform_unavailable_to(
    const std::set<unsigned>& instances) {
    fleet_.platform().refuse_the_others(fleet_.random_below(2) == 0);
    fleet_.let_platform_answer(
        [instances](unsigned number) { return instances.count(number) == 0; });
}

void fault_script::inject(fleet_fault fault) {
    injected_ +=
        std::to_string(fleet_.now().time_since_epoch() / 1ms % 3600000) + " " +
        name_of(fault) + "; ";
    switch (fault) {
    case fleet_fault::rolling_restart:
        for (const auto each : random_instances()) {
            to_restart_.push_back(each);
        }
        break;
    case fleet_fault::restart_reader:
        to_restart_.push_back(current_reader());
        break;
    case fleet_fault::freeze_some:
        for (const auto each : random_instances()) {
            fleet_.freeze(each, random_between(min_freeze, max_freeze));
        }
        break;
    case fleet_fault::freeze_reader:
        fleet_.freeze(current_reader(), random_between(min_freeze, max_freeze));
        break;
    case fleet_fault::partition:
        fleet_.partition(random_instances());
        break;
    case fleet_fault::platform_unavailable_to_reader:
        make_platform_unavailable_to({current_reader()});
        break;
    case fleet_fault::platform_unavailable_to_some:
        make_platform_unavailable_to(random_instances());
        break;
    case fleet_fault::platform_unavailable_to_all:
        fleet_.platform().refuse_the_others(fleet_.random_below(2) == 0);
        fleet_.let_platform_answer([](unsigned) { return false; });
        break;
    case fleet_fault::slow_platform:
        fleet_.platform().set_delay(
            random_between(simulated_platform::usual_delay, max_answer_delay));
        break;
    case fleet_fault::stale_answers:
        fleet_.platform().set_staleness(random_between(500ms, max_staleness));
        break;
    case fleet_fault::history_truncated:
        fleet_.platform().truncate_history();
        break;
    case fleet_fault::links_replaced:
        for (const auto each : random_instances()) {
            fleet_.replace_links(each);
        }
        break;
    case fleet_fault::links_drop_messages:
        for (const auto each : random_instances()) {
            fleet_.drop_messages(each, random_between(20ms, 1s));
        }
        break;
    }
}

} // namespace waxwingvale
