#include "control/unreadable_items.hpp"

namespace waxwingvale::control {

bool unreadable_items::note(const std::string& key,
                            const membership::publication_stamp& stamp) {
    ++seen_;
    const auto known = told_.find(key);
    if (known != told_.end()) {
        const bool news = known->second != stamp;
        known->second = stamp;
        return news;
    }
    if (told_.size() >= most_told) {
        return false;
    }
    told_.emplace(key, stamp);
    return true;
}

} // namespace waxwingvale::control
