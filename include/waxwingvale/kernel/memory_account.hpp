#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace waxwingvale::kernel {

// What an instance holds in memory for those who connect to it, all of its
// parts together. Nothing is refused here; whoever can give something back asks
// whether there is too much.
class memory_account {
public:
    // Bytes that may be held.
    explicit memory_account(std::size_t limit) : limit_(limit) {}

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    // Bytes beyond the limit.
    std::size_t excess() const { return held_ > limit_ ? held_ - limit_ : 0; }
    // The most that was held since the last call.
    std::size_t take_peak();

private:
    friend class memory_charge;

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
};

using memory_account_ptr = std::shared_ptr<memory_account>;

// The part of an account that one holder has. It goes with its holder.
class memory_charge {
public:
    memory_charge() = default;
    // A null account counts nothing.
    explicit memory_charge(memory_account_ptr on) : account_(std::move(on)) {}
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    ~memory_charge() { set(0); }

    // The holder has so many bytes now.
    void set(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    memory_account_ptr account_;
    std::size_t bytes_ = 0;
};

} // namespace waxwingvale::kernel
