#include <waxwingvale/decision/late_wakeup.hpp>

namespace waxwingvale::decision {

bool late_wakeup::detect(time_point now) {
    const bool late = started_ && now - last_ > limit_;
    started_ = true;
    last_ = now;
    return late;
}

} // namespace waxwingvale::decision
