#pragma once

#include <cstddef>
#include <utility>

#include <waxwingvale/kernel/memory_account.hpp>

namespace waxwingvale::entry {

// What copies of long bodies may take of an instance's memory. One is shared by
// all of its requests.
class copy_budget {
public:
    // Bytes of one body, and of all together.
    copy_budget(std::size_t of_one, std::size_t of_all,
                kernel::memory_account_ptr account = nullptr)
        : of_one_(of_one), of_all_(of_all), held_(std::move(account)) {}

    // Takes `more` bytes for a body that has `held` of them already; false when
    // that is past a limit, and nothing is taken.
    bool try_take(std::size_t held, std::size_t more);
    void give_back(std::size_t bytes) { use(used_ - bytes); }
    std::size_t used() const { return used_; }

private:
    void use(std::size_t bytes);

    std::size_t of_one_;
    std::size_t of_all_;
    std::size_t used_ = 0;
    kernel::memory_charge held_;
};

} // namespace waxwingvale::entry
