#include "waxwing_entry/silence_watch.hpp"

namespace waxwingvale::entry {

void silence_watch::on_silent(const std::string& backend_server,
                              time_point now) {
    doubtful_until_[backend_server] = now + doubt;
}

bool silence_watch::doubtful(const std::string& backend_server,
                             time_point now) const {
    const auto found = doubtful_until_.find(backend_server);
    return found != doubtful_until_.end() && now < found->second;
}

} // namespace waxwingvale::entry
