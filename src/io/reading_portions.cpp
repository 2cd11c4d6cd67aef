#include "io/reading_portions.hpp"

#include <utility>

namespace waxwingvale::io {

namespace {

// A portion has no more than this, but for its last item.
constexpr std::size_t portion_bytes = 64 * 1024;
constexpr std::size_t portion_items = 256;

std::size_t size_of(const published_item& item) {
    return item.key.size() + item.value.size() + item.problem.size();
}

} // namespace

reading_portions::reading_portions(published_page page)
    : whole_(true), rest_(std::move(page.rest)) {
    read_.reserve(page.items.size());
    for (auto& each : page.items) {
        read_.push_back({std::move(each), false});
    }
}

reading_portions::reading_portions(published_changes changes)
    : whole_(false),
      read_(std::move(changes.changes)),
      rest_(std::move(changes.rest)) {}

bool reading_portions::empty() const {
    return next_ == read_.size() && (!rest_ || rest_->empty());
}

result<published_change> reading_portions::next() {
    if (next_ < read_.size()) {
        return std::move(read_[next_++]);
    }
    return rest_->next();
}

void reading_portions::add(published_change&& change, platform_reading& into) {
    last_key_ = change.item.key;
    if (whole_) {
        into.items.push_back(std::move(change.item));
    } else {
        into.changes.push_back(std::move(change));
    }
}

result<void> reading_portions::take(platform_reading& into) {
    std::size_t bytes = 0;
    for (std::size_t items = 0;
         items < portion_items && !empty() && bytes < portion_bytes; ++items) {
        auto change = next();
        if (!change) {
            return change.error();
        }
        bytes += size_of(change.value().item);
        add(std::move(change.value()), into);
    }
    return success();
}

} // namespace waxwingvale::io
