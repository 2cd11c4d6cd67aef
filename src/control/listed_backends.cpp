#include "control/listed_backends.hpp"

#include <utility>

namespace waxwingvale::control {

namespace {

constexpr std::size_t most_kept = 2048;
constexpr duration longest_wait = std::chrono::milliseconds(200);

} // namespace

void listed_backends::begin(time_point now) {
    kept_.clear();
    began_ = now;
    takes_long_ = false;
}

std::vector<membership::registry_record>
listed_backends::add(const std::vector<membership::registry_record>& part,
                     bool ends, time_point now) {
    kept_.insert(kept_.end(), part.begin(), part.end());
    takes_long_ =
        takes_long_ || kept_.size() > most_kept || now - began_ >= longest_wait;
    if (!ends && !takes_long_) {
        return {};
    }
    return std::exchange(kept_, {});
}

} // namespace waxwingvale::control
