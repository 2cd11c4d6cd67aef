#include "control/unreadable_items.hpp"

namespace waxwingvale::control {

bool unreadable_items::note(const std::string& key, std::uint64_t revision) {
    ++seen_;
    const auto known = told_.find(key);
    if (known != told_.end()) {
        const bool news = known->second != revision;
        known->second = revision;
        return news;
    }
    if (told_.size() >= most_told) {
        return false;
    }
    told_.emplace(key, revision);
    return true;
}

} // namespace waxwingvale::control
