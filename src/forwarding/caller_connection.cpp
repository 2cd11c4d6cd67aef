#include "forwarding/caller_connection.hpp"

#include <utility>

namespace waxwingvale::forwarding {

namespace {

// A body up to this size is waited for before its request is handed over: so
// it can be sent a second time, and no slot is held while it comes in.
constexpr std::size_t whole_body_limit = 256 * 1024; // bytes
// Bytes that a caller may send ahead of its turn before it is held back.
constexpr std::size_t read_ahead_limit = 256 * 1024;

} // namespace

caller_connection::caller_connection(kernel::event_loop& loop, int descriptor,
                                     std::string peer,
                                     caller_connection_frame& frame)
    : frame_(frame),
      held_(frame.guard->account()),
      peer_(std::move(peer)),
      since_(frame.now()),
      socket_(loop, descriptor, false,
              {{},
               [this](const char* bytes, std::size_t size) {
                   on_bytes(bytes, size);
               },
               [this] { on_end(); },
               [this] { on_drained(); }}) {
    frame_.guard->add(*this);
    count_held();
}

caller_connection::~caller_connection() {
    frame_.guard->remove(*this);
    close_socket();
}

void caller_connection::on_bytes(const char* bytes, std::size_t size) {
    if (phase_ == phase::closing) {
        report_discarded(); // read only so that the connection ends in order
        return;
    }
    input_.append(bytes, size);
    if (phase_ == phase::reading && !head_begun_) {
        begin_head();
    }
    read_on();
    count_held();
    frame_.guard->settle();
}

void caller_connection::begin_head() {
    head_begun_ = true;
    since_ = frame_.now();
    at_begin_ = frame_.limits;
}

// The caller may know of either configuration.
caller_limits caller_connection::limits() const {
    return wider(at_begin_, frame_.limits);
}

void caller_connection::read_on() {
    if (reading_on_) {
        return; // an answer was given at once; the loop below goes on
    }
    reading_on_ = true;
    read_steps();
    reading_on_ = false;
}

void caller_connection::read_steps() {
    while (!closed_ && phase_ != phase::closing) {
        const bool body_coming = exchange_ && !exchange_->body_complete();
        if (phase_ == phase::answering && !body_coming) {
            hold_back();
            return;
        }
        if (!take_step(reader_.read(input_, limits()))) {
            return;
        }
    }
}

// Bytes ahead of their turn are kept up to a bound; the rest stays with the
// caller.
void caller_connection::hold_back() {
    const bool too_much =
        input_.size() > read_ahead_limit ||
        (exchange_ && exchange_->later_body_.size() > read_ahead_limit);
    if (too_much) {
        socket_.pause_reading();
    }
}

bool caller_connection::take_step(request_reader::step step) {
    switch (step) {
    case request_reader::step::need_more:
        // Empty lines between requests begin none.
        head_begun_ = head_begun_ && reader_.reading(input_);
        hold_back();
        return false;
    case request_reader::step::faulty:
        ++frame_.counters.faulty;
        refuse(reader_.fault().status, reader_.fault().detail);
        return false;
    case request_reader::step::head:
        return take_head();
    case request_reader::step::body:
        if (exchange_) {
            exchange_->later_body_ += std::exchange(reader_.request().body, {});
            if (exchange_->on_body_) {
                exchange_->on_body_();
            }
            hold_back();
        } else if (reader_.request().body.size() > whole_body_limit) {
            hand_over(false);
        }
        return true;
    case request_reader::step::complete:
        if (exchange_) {
            exchange_->later_body_ += std::exchange(reader_.request().body, {});
            exchange_->body_complete_ = true;
            if (exchange_->on_body_) {
                exchange_->on_body_();
            }
        } else {
            hand_over(true);
        }
        return true;
    }
    return false;
}

bool caller_connection::take_head() {
    const auto length = reader_.content_length();
    const bool has_body = !length || *length > 0;
    if (has_body && reader_.expects_continue()) {
        const std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        socket_.write(go_on, {});
    }
    return true;
}

void caller_connection::hand_over(bool complete) {
    auto request = std::move(reader_.request());
    request.peer = peer_;
    phase_ = phase::answering;
    proven_ = true;
    handed_over_ = frame_.now();
    status_ = 0;
    head_begun_ = false;
    head_request_ = request.method == "HEAD";
    http_1_0_ = reader_.is_http_1_0();
    chunked_answer_ = false;
    close_after_ = !reader_.keep_alive();
    exchange_ =
        std::make_shared<caller_exchange>(weak_from_this(), std::move(request));
    exchange_->body_complete_ = complete;
    exchange_->body_length_ = reader_.content_length();
    ++frame_.counters.requests;
    ++frame_.pending;
    frame_.on_request(exchange_);
}

// An answer to bytes that never became a request.
void caller_connection::refuse(unsigned status, const std::string& detail,
                               io::http_headers headers) {
    if (exchange_) {
        // The fault lies in the rest of a body whose request is under way.
        abandon_exchange(request_end::body_refused);
        report_given(request_end::body_refused);
        socket_.reset();
        close();
        return;
    }
    announced_close_ = true;
    rest_is_known_ = true;
    const auto body = detail + "\n";
    headers.push_back({"Content-Type", "text/plain"});
    socket_.write(
        answer_head(status, headers, {body_framing::length, body.size()}, true),
        body);
    begin_closing();
}

// Whether a part of a further request has been read. Empty lines are none.
bool caller_connection::sent_ahead() const {
    return input_.find_first_not_of("\r\n") != input_.npos;
}

// What is left of a body that nobody reads would be taken for the next request.
// What was sent ahead and read has to be answered before a stop may close.
bool caller_connection::closes_after_answer() const {
    const bool asked = frame_.ask_to_close && !sent_ahead();
    return close_after_ || asked || !exchange_->body_complete();
}

body_plan
caller_connection::plan_of(unsigned status,
                           std::optional<std::uint64_t> length) const {
    if (!may_have_body(status)) {
        return {};
    }
    if (length) {
        return {body_framing::length, *length};
    }
    return {http_1_0_ ? body_framing::until_end : body_framing::chunks, 0};
}

void caller_connection::answer(io::http_response whole) {
    const auto plan = plan_of(whole.status, whole.body.size());
    const bool with_body =
        plan.framing == body_framing::length && !head_request_;
    status_ = whole.status;
    close_after_ = closes_after_answer();
    socket_.write(answer_head(whole.status, whole.headers, plan, close_after_),
                  with_body ? std::string_view(whole.body)
                            : std::string_view());
    finish_exchange();
}

void caller_connection::begin_answer(const io::http_response& head,
                                     std::optional<std::uint64_t> length) {
    const auto plan = plan_of(head.status, length);
    status_ = head.status;
    answer_begun_ = true;
    chunked_answer_ = plan.framing == body_framing::chunks;
    close_after_ =
        closes_after_answer() || plan.framing == body_framing::until_end;
    socket_.write(answer_head(head.status, head.headers, plan, close_after_),
                  {});
}

void caller_connection::add(std::string_view body) {
    if (body.empty() || head_request_) {
        return;
    }
    if (chunked_answer_) {
        socket_.write(chunk(body), {});
    } else {
        socket_.write(body, {});
    }
    count_held();
}

void caller_connection::end_answer() {
    if (chunked_answer_ && !head_request_) {
        socket_.write(last_chunk(), {});
    }
    finish_exchange();
}

// The answer is written; the next request's turn comes, or the end.
void caller_connection::finish_exchange() {
    given_.push_back(end_of(*exchange_, request_end::answered));
    rest_is_known_ = !exchange_->body_complete();
    exchange_->finished_ = true;
    exchange_.reset();
    answer_begun_ = false;
    --frame_.pending;
    since_ = frame_.now();
    if (socket_.waiting() == 0) {
        report_given(request_end::answered);
    }
    if (close_after_) {
        announced_close_ = true;
        begin_closing();
        return;
    }
    reader_.next();
    phase_ = phase::reading;
    socket_.resume_reading();
    count_held();
    if (!input_.empty()) {
        begin_head();
        read_on();
    }
}

void caller_connection::body_taken() {
    if (phase_ == phase::answering) {
        socket_.resume_reading();
    }
    count_held();
}

void caller_connection::on_drained() {
    report_given(request_end::answered);
    count_held();
    if (phase_ == phase::closing) {
        since_ = frame_.now();
        socket_.end_writing();
    } else if (exchange_ && exchange_->on_drained_) {
        exchange_->on_drained_();
    }
}

} // namespace waxwingvale::forwarding
