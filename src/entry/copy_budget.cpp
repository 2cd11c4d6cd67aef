#include "entry/copy_budget.hpp"

namespace waxwingvale::entry {

bool copy_budget::try_take(std::size_t held, std::size_t more) {
    const bool fits = held + more <= of_one_ && used_ + more <= of_all_;
    used_ += fits ? more : 0;
    return fits;
}

} // namespace waxwingvale::entry
