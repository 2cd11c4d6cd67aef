#include <waxwingvale/decision/late_wakeup.hpp>

namespace waxwingvale::decision {

bool late_wakeup::noticed(time_point now) {
    const bool late = begun_ && now - last_ > limit_;
    begun_ = true;
    last_ = now;
    return late;
}

} // namespace waxwingvale::decision
