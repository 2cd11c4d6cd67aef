// The part of caller_connection that ends requests and the connection, and
// tells of it.

#include <algorithm>
#include <cerrno>
#include <utility>

#include "forwarding/caller_connection.hpp"

namespace waxwingvale::forwarding {

namespace {

using namespace std::chrono_literals;

// After the last answer the caller has this long to close its side. Closed at
// once, with bytes of the caller unread, the connection would be reset, and
// the answer that is on its way lost.
constexpr duration linger_limit = 1s;
// Beyond the time that callers need to send what they opened a connection for.
constexpr duration idle_before_closing = 100ms;

constexpr unsigned status_request_timeout = 408;

} // namespace

void caller_connection::begin_closing() {
    phase_ = phase::closing;
    since_ = frame_.now();
    if (sent_ahead()) {
        report_discarded();
    }
    drop_input();
    socket_.resume_reading();
    if (socket_.waiting() == 0) {
        socket_.end_writing();
    }
    count_held();
}

void caller_connection::break_off(request_end why) {
    report_given(why);
    report(end_of(*exchange_, why));
    exchange_->finished_ = true;
    exchange_.reset();
    --frame_.pending;
    socket_.reset();
    close();
}

void caller_connection::abandon_exchange(request_end why) {
    if (!exchange_) {
        return;
    }
    report(end_of(*exchange_, why));
    ++frame_.counters.abandoned;
    --frame_.pending;
    const auto left = std::exchange(exchange_, nullptr);
    left->abandoned_ = true;
    if (left->on_abandoned_) {
        left->on_abandoned_();
    }
}

void caller_connection::on_end() {
    const auto why = socket_.end_reason() == ETIMEDOUT
                         ? request_end::caller_silent
                         : request_end::caller_left;
    report_given(why);
    abandon_exchange(why);
    close();
}

void caller_connection::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    close_socket();
    drop_input();
    held_.set(0);
    frame_.guard->remove(*this);
    frame_.on_closed(*this);
}

// A close in order would make a whole answer of a part where the connection's
// end is that of the answer.
void caller_connection::close_socket() {
    if (answer_begun_ || socket_.waiting() > 0) {
        socket_.reset();
    } else {
        socket_.close();
    }
}

ended_request caller_connection::end_of(const caller_exchange& exchange,
                                        request_end end) const {
    return {end,     exchange.name(),   peer_,
            status_, socket_.waiting(), frame_.now() - handed_over_};
}

void caller_connection::report(const ended_request& ended) {
    if (frame_.on_request_ended) {
        frame_.on_request_ended(ended);
    }
}

void caller_connection::report_given(request_end end) {
    for (auto& each : std::exchange(given_, {})) {
        each.end = end;
        each.unsent = std::min(each.unsent, socket_.waiting());
        report(each);
    }
}

void caller_connection::report_stopped() {
    report_given(request_end::stopped);
    if (exchange_) {
        report(end_of(*exchange_, request_end::stopped));
    }
}

// Bytes of a request that nobody will answer, once for each connection.
void caller_connection::report_discarded() {
    if (rest_is_known_) {
        return;
    }
    rest_is_known_ = true;
    ended_request unanswered;
    unanswered.end =
        announced_close_ ? request_end::sent_too_late : request_end::closing;
    unanswered.peer = peer_;
    report(unanswered);
}

bool caller_connection::nothing_asked() const {
    return !closed_ && phase_ == phase::reading && !reader_.reading(input_);
}

// All that has come is read before anything is decided on its absence. The loop
// reads a part of it in each turn only, and not of all connections.
void caller_connection::catch_up() {
    while (!closed_ && phase_ == phase::reading && socket_.read_now()) {
    }
}

// A request may be on its way on a connection that was just opened, or whose
// answer has just gone out.
void caller_connection::close_if_idle() {
    const auto rested = [this] {
        return nothing_asked() && frame_.now() - since_ >= idle_before_closing;
    };
    if (rested()) {
        catch_up();
    }
    if (rested()) {
        close_unasked();
    }
}

// The connection is closed at once, and not read any further: its caller must
// be able to tell that a request which crosses the close was not read. Such a
// request also ends what is still on its way to the caller, which is therefore
// waited for, but not from one that confirms nothing any more.
void caller_connection::close_unasked() {
    const bool on_its_way =
        socket_.unconfirmed() > 0 && frame_.now() - since_ < linger_limit;
    if (socket_.waiting() == 0 && !on_its_way) {
        close();
    }
}

void caller_connection::look_at_time(time_point now) {
    if (closed_) {
        return;
    }
    const auto passed = now - since_;
    if (phase_ == phase::answering) {
        // A close behind bytes that are not read is not told by the socket.
        if (!socket_.reading() && socket_.peer_has_closed()) {
            on_end();
        }
    } else if (phase_ == phase::closing) {
        linger(now);
    } else if (head_begun_ && passed >= limits().head_time) {
        catch_up();
        give_up_slow_head(now);
    } else if (!head_begun_ && passed >= frame_.limits.idle_time) {
        catch_up();
        close_too_idle(now);
    }
}

// A close before the last answer has come through would cut it if its caller
// sent anything more. It is waited for as long as the caller confirms parts of
// it; what has not gone out is bounded by the limit of silence.
void caller_connection::linger(time_point now) {
    const auto on_its_way = socket_.unconfirmed();
    if (on_its_way != last_on_its_way_) {
        last_on_its_way_ = on_its_way;
        since_ = now;
    }
    if (socket_.waiting() == 0 && now - since_ >= linger_limit) {
        close();
    }
}

void caller_connection::give_up_slow_head(time_point now) {
    const bool slow = !closed_ && phase_ == phase::reading && head_begun_ &&
                      now - since_ >= limits().head_time;
    if (slow) {
        ++frame_.counters.too_slow;
        refuse(status_request_timeout, "the request did not come in time");
    }
}

void caller_connection::close_too_idle(time_point now) {
    if (nothing_asked() && now - since_ >= frame_.limits.idle_time) {
        close_unasked();
        frame_.counters.idle += closed_ ? 1 : 0;
    }
}

} // namespace waxwingvale::forwarding
