#pragma once

#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/forwarding/backend_call.hpp>
#include <waxwingvale/forwarding/caller_exchange.hpp>

#include "entry/copy_budget.hpp"

namespace waxwingvale::entry {

// The part of a long request body that comes after its request was handed
// over. What has been sent of it is copied while the budget allows, so that
// the request can go to another backend server with its whole body; after that
// it can't be sent again.
class long_body : public std::enable_shared_from_this<long_body> {
public:
    long_body(forwarding::caller_exchange_ptr from,
              std::shared_ptr<copy_budget> budget);
    ~long_body();
    long_body(const long_body&) = delete;
    long_body& operator=(const long_body&) = delete;

    // Whether every byte that was sent is still there.
    bool at_hand() const { return !copy_dropped_; }
    // Whether the caller has sent all of it.
    bool complete() const { return from_->body_complete(); }
    // The body from its first byte, for the next attempt; at_hand() must hold.
    // Streams that were opened before get and take nothing more.
    std::shared_ptr<forwarding::body_stream> open();

private:
    class attempt_stream;

    std::string take_new();
    void drop_copy();

    forwarding::caller_exchange_ptr from_;
    std::shared_ptr<copy_budget> budget_;
    std::string copy_; // of all bytes that an attempt has taken
    bool copy_dropped_ = false;
    const attempt_stream* latest_ = nullptr;
};

} // namespace waxwingvale::entry
