#include "fault_script.hpp"

#include <utility>

namespace waxwingvale {

namespace {

using namespace std::chrono_literals;

constexpr duration shortest_fault = 500ms;
constexpr duration longest_fault = 12s;
constexpr duration shortest_rest = 300ms;
constexpr duration longest_rest = 4s;
constexpr duration shortest_freeze = 600ms;
constexpr duration longest_freeze = 3s;
constexpr duration slowest_answer = 150ms; // each way
constexpr duration oldest_word = 4s;
constexpr duration quickest_start = 200ms;
constexpr duration slowest_start = 1s;
constexpr duration between_restarts = 1500ms;

} // namespace

const char* name_of(fleet_fault fault) {
    static constexpr const char* names[fleet_fault_count] = {
        "restart_one_after_another",
        "restart_reader",
        "freeze_some",
        "freeze_reader",
        "cut_part",
        "silent_to_reader",
        "silent_to_some",
        "silent_to_all",
        "slow_platform",
        "old_word",
        "history_forgotten",
        "links_replaced",
        "links_swallow"};
    return names[static_cast<unsigned>(fault)];
}

fault_script::fault_script(fleet_simulation& fleet, duration quickest,
                           duration slowest)
    : fleet_(fleet),
      quickest_(quickest),
      slowest_(slowest),
      next_publication_(fleet.now()),
      next_fault_(fleet.now()) {}

void fault_script::choose_from(std::vector<fleet_fault> faults) {
    faults_ = std::move(faults);
}

duration fault_script::between(duration least, duration most) {
    return least + fleet_.random_within(most - least);
}

void fault_script::pass(duration time) {
    const auto end = fleet_.now() + time;
    while (fleet_.now() < end) {
        publish_due();
        restart_due();
        end_due();
        if (!lasts_ && !faults_.empty() && fleet_.now() >= next_fault_) {
            begin_some();
        }
        fleet_.run_for(20ms);
    }
}

// One, or two together.
void fault_script::begin_some() {
    lasts_ = true;
    ends_ = fleet_.now() + between(shortest_fault, longest_fault);
    const auto count = 1 + fleet_.random_below(2);
    for (unsigned each = 0; each < count; ++each) {
        begin(faults_[fleet_.random_below(
            static_cast<unsigned>(faults_.size()))]);
    }
}

void fault_script::publish_due() {
    if (fleet_.now() >= next_publication_) {
        fleet_.publish_configuration();
        next_publication_ = fleet_.now() + between(quickest_, slowest_);
    }
}

void fault_script::restart_due() {
    if (!to_restart_.empty() && fleet_.now() >= next_restart_) {
        const auto number = to_restart_.back();
        to_restart_.pop_back();
        if (fleet_.standing(number).running) {
            fleet_.kill(number);
            fleet_.start(number, between(quickest_start, slowest_start));
        }
        next_restart_ = fleet_.now() + between_restarts;
    }
}

void fault_script::end_due() {
    if (lasts_ && fleet_.now() >= ends_) {
        end_all();
        next_fault_ = fleet_.now() + between(shortest_rest, longest_rest);
    }
}

void fault_script::end_all() {
    lasts_ = false;
    fleet_.heal();
    fleet_.let_platform_answer([](unsigned) { return true; });
    fleet_.platform().set_delay(simulated_platform::usual_delay);
    fleet_.platform().set_word_age(duration::zero());
}

std::set<unsigned> fault_script::some() {
    std::set<unsigned> chosen;
    const auto count = 1 + fleet_.random_below(1 + fleet_.instances() / 3);
    while (chosen.size() < count) {
        chosen.insert(fleet_.random_below(fleet_.instances()));
    }
    return chosen;
}

unsigned fault_script::reader() {
    for (unsigned each = 0; each < fleet_.instances(); ++each) {
        if (fleet_.standing(each).reads) {
            return each;
        }
    }
    return 0;
}

void fault_script::keep_from(const std::set<unsigned>& whom) {
    fleet_.platform().refuse_the_others(fleet_.random_below(2) == 0);
    fleet_.let_platform_answer(
        [whom](unsigned number) { return whom.count(number) == 0; });
}

void fault_script::begin(fleet_fault fault) {
    played_ += std::to_string(fleet_.now().time_since_epoch() / 1ms % 3600000) +
               " " + name_of(fault) + "; ";
    switch (fault) {
    case fleet_fault::restart_one_after_another:
        for (const auto each : some()) {
            to_restart_.push_back(each);
        }
        break;
    case fleet_fault::restart_reader:
        to_restart_.push_back(reader());
        break;
    case fleet_fault::freeze_some:
        for (const auto each : some()) {
            fleet_.freeze(each, between(shortest_freeze, longest_freeze));
        }
        break;
    case fleet_fault::freeze_reader:
        fleet_.freeze(reader(), between(shortest_freeze, longest_freeze));
        break;
    case fleet_fault::cut_part:
        fleet_.cut(some());
        break;
    case fleet_fault::silent_to_reader:
        keep_from({reader()});
        break;
    case fleet_fault::silent_to_some:
        keep_from(some());
        break;
    case fleet_fault::silent_to_all:
        fleet_.platform().refuse_the_others(fleet_.random_below(2) == 0);
        fleet_.let_platform_answer([](unsigned) { return false; });
        break;
    case fleet_fault::slow_platform:
        fleet_.platform().set_delay(
            between(simulated_platform::usual_delay, slowest_answer));
        break;
    case fleet_fault::old_word:
        fleet_.platform().set_word_age(between(500ms, oldest_word));
        break;
    case fleet_fault::history_forgotten:
        fleet_.platform().forget_history();
        break;
    case fleet_fault::links_replaced:
        for (const auto each : some()) {
            fleet_.replace_links(each);
        }
        break;
    case fleet_fault::links_swallow:
        for (const auto each : some()) {
            fleet_.swallow(each, between(20ms, 1s));
        }
        break;
    }
}

} // namespace waxwingvale
