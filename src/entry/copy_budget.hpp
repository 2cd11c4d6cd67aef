#pragma once

#include <cstddef>

namespace waxwingvale::entry {

// What copies of long bodies may take of an instance's memory. One is shared by
// all of its requests.
class copy_budget {
public:
    // Bytes of one body, and of all together.
    copy_budget(std::size_t of_one, std::size_t of_all)
        : of_one_(of_one), of_all_(of_all) {}

    // Takes `more` bytes for a body that has `held` of them already; false when
    // that is past a limit, and nothing is taken.
    bool try_take(std::size_t held, std::size_t more);
    void give_back(std::size_t bytes) { used_ -= bytes; }
    std::size_t used() const { return used_; }

private:
    std::size_t of_one_;
    std::size_t of_all_;
    std::size_t used_ = 0;
};

} // namespace waxwingvale::entry
