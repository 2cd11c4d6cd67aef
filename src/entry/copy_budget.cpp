#include "entry/copy_budget.hpp"

namespace waxwingvale::entry {

bool copy_budget::try_take(std::size_t held, std::size_t more) {
    const bool fits = held + more <= of_one_ && used_ + more <= of_all_;
    if (fits) {
        use(used_ + more);
    }
    return fits;
}

void copy_budget::use(std::size_t bytes) {
    used_ = bytes;
    held_.set(bytes);
}

} // namespace waxwingvale::entry
