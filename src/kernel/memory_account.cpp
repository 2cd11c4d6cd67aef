#include <waxwingvale/kernel/memory_account.hpp>

#include <algorithm>
#include <utility>

namespace waxwingvale::kernel {

std::size_t memory_account::take_peak() {
    return std::exchange(peak_, held_);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(std::move(other.account_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
    set(0);
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

void memory_charge::set(std::size_t bytes) {
    if (!account_) {
        return;
    }
    account_->held_ += bytes;
    account_->held_ -= bytes_;
    account_->peak_ = std::max(account_->peak_, account_->held_);
    bytes_ = bytes;
}

} // namespace waxwingvale::kernel
