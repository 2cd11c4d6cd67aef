#include <waxwingvale/decision/recent_passes.hpp>

namespace waxwingvale::decision {

void recent_passes::note(request_fingerprint passed, time_point now) {
    passes_[place_of(passed)] = {passed, now, true};
}

bool recent_passes::passed_lately(request_fingerprint asked,
                                  time_point now) const {
    const auto& found = passes_[place_of(asked)];
    return found.used && found.fingerprint == asked &&
           now - found.at <= counts_for_;
}

} // namespace waxwingvale::decision
