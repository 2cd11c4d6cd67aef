#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::replay {

// What callers' answers were worth, against what they could have been, by class
// and by the two seconds in which their calls first arrived.
class worth_ledger {
public:
    void owed(std::size_t work, time_point arrived, double worth);
    void earned(std::size_t work, time_point arrived, double worth);

    // Earned of what was owed, between 0 and 1; 1 when nothing was owed.
    double share() const;
    // That of the class with the least.
    double worst_class() const;
    double of_class(std::size_t work) const;
    std::size_t classes() const { return by_class_.size(); }
    // The mean of that of the two worst of those two seconds.
    double worst_windows() const;

private:
    struct account {
        double owed = 0;
        double earned = 0;

        double share() const { return owed > 0 ? earned / owed : 1; }
    };

    account& class_account(std::size_t work);
    account& window_account(time_point arrived);

    account all_;
    std::vector<account> by_class_;
    std::map<duration::rep, account> by_window_;
};

} // namespace waxwingvale::replay
