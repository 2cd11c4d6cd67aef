#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet_simulation.hpp"

namespace waxwingvale {

enum class fleet_fault {
    restart_one_after_another,
    restart_reader,
    freeze_some,
    freeze_reader,
    cut_part,
    silent_to_reader,
    silent_to_some,
    silent_to_all,
    slow_platform,
    old_word,
    history_forgotten,
    links_replaced,
    links_swallow
};
constexpr unsigned fleet_fault_count = 13;
const char* name_of(fleet_fault fault);

// What goes wrong in a simulated fleet while configurations are published, as
// its seed decides.
class fault_script {
public:
    fault_script(fleet_simulation& fleet, duration quickest, duration slowest);

    // Lets time pass up to the next look of a checker.
    void pass(duration time);
    // Of these one after the other, by chance; none when empty.
    void choose_from(std::vector<fleet_fault> faults);
    void end_all();
    const std::string& played() const { return played_; }

private:
    void begin_some();
    void begin(fleet_fault fault);
    void end_due();
    void publish_due();
    void restart_due();
    std::set<unsigned> some();
    unsigned reader();
    duration between(duration least, duration most);
    void keep_from(const std::set<unsigned>& whom);

    fleet_simulation& fleet_;
    duration quickest_;
    duration slowest_;
    std::vector<fleet_fault> faults_;
    time_point next_publication_;
    time_point next_fault_;
    time_point ends_{};
    bool lasts_ = false;
    std::vector<unsigned> to_restart_;
    time_point next_restart_{};
    std::string played_;
};

} // namespace waxwingvale
