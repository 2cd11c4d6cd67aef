#include "standin/history_file.hpp"

#include <utility>
#include <waxwingvale/kernel/clock.hpp>

namespace waxwingvale::standin {

history_file::history_file(const std::string& name) {
    if (!name.empty()) {
        file_.open(name, std::ios::app);
    }
}

void history_file::write(nlohmann::json event) {
    if (!file_.is_open()) {
        return;
    }
    const kernel::monotonic_clock time;
    event["at_us"] = time.now().time_since_epoch().count();
    file_ << event.dump() << '\n' << std::flush;
}

} // namespace waxwingvale::standin
