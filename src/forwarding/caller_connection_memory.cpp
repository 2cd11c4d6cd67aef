// The part of caller_connection that counts what it holds, and gives it up.

#include "forwarding/caller_connection.hpp"

namespace waxwingvale::forwarding {

namespace {

// The objects of a connection and its request, their bytes left out.
constexpr std::size_t objects_of_one = 2 * 1024; // bytes
// What is kept of an empty buffer.
constexpr std::size_t kept_buffer = 16 * 1024; // bytes

constexpr unsigned status_unavailable = 503;
// Whoever holds too much is in no hurry; others have come back by then.
constexpr const char* come_back_after = "1"; // seconds

} // namespace

std::size_t caller_connection::held_bytes() const {
    auto held = objects_of_one + input_.capacity() + reader_.held() +
                socket_.buffered();
    if (exchange_) {
        held += exchange_->held();
    }
    // The caller fills its window while nothing is read.
    return socket_.reading() ? held : held + frame_.receive_buffer;
}

void caller_connection::count_held() {
    if (closed_) {
        return;
    }
    if (input_.empty() && input_.capacity() > kept_buffer) {
        std::string().swap(input_);
    }
    held_.set(held_bytes());
    frame_.guard->settle_soon();
}

void caller_connection::drop_input() {
    std::string().swap(input_);
    reader_.next();
}

decision::held_connection caller_connection::holding() const {
    const auto kept = exchange_ ? exchange_->kept_ : 0;
    return {held_.bytes() + kept, exchange_ != nullptr, since_};
}

void caller_connection::shed() {
    frame_.guard->note({overload_limit::memory, peer_, holding().bytes});
    const bool refused =
        exchange_ && exchange_->on_shed_ && exchange_->on_shed_();
    if (refused) {
        return;
    }
    const bool reads_request =
        phase_ == phase::reading && socket_.waiting() == 0;
    if (reads_request) {
        refuse(status_unavailable, "too much is held for callers",
               {{"Retry-After", come_back_after}});
        return;
    }
    report_given(request_end::memory_short);
    abandon_exchange(request_end::memory_short);
    socket_.reset();
    close();
}

std::optional<decision::open_connection>
caller_connection::replaceable() const {
    const bool needed = closed_ || exchange_ || socket_.waiting() > 0;
    return needed ? std::nullopt
                  : std::optional(decision::open_connection{proven_, since_});
}

// A part of a request is told that it was not run, as far as that comes
// through; the connection has no time to end in order.
void caller_connection::give_way(overload_limit limit) {
    frame_.guard->note({limit, peer_, held_.bytes()});
    if (phase_ == phase::reading && reader_.reading(input_)) {
        refuse(status_unavailable, "too many connections are open",
               {{"Retry-After", come_back_after}});
    }
    close();
}

} // namespace waxwingvale::forwarding
