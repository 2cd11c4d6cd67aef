#include "forwarding/backend_connection.hpp"

#include <cerrno>
#include <charconv>
#include <utility>

#include "forwarding/wire_text.hpp"

namespace waxwingvale::forwarding {

namespace {

// An answer up to this size is waited for whole: one that is cut short can
// then be asked for again elsewhere, where the caller would else get a broken
// one.
constexpr std::size_t whole_answer_limit = 1024 * 1024; // bytes
// The body of an answer to a check, which nobody reads.
constexpr std::size_t check_body_limit = 64 * 1024; // bytes
// The body behind a head that can't be an answer's. A part of it is waited for:
// if the connection ends in it, the server may have ended.
constexpr std::size_t no_answer_limit = 64 * 1024; // bytes
// What may come before the head of the answer to a call: interim answers, and
// late ones to earlier calls.
constexpr std::uint64_t ahead_limit = 1024 * 1024; // bytes

// "timeout=5, max=100" names seconds.
std::optional<duration> kept_by(const io::http_response& answer) {
    const auto* text = io::find_header(answer.headers, "Keep-Alive");
    if (text == nullptr) {
        return std::nullopt;
    }
    const std::string field = "timeout=";
    const auto at = text->find(field);
    if (at == text->npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const auto* begin = text->data() + at + field.size();
    const auto parsed =
        std::from_chars(begin, text->data() + text->size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

body_plan plan_of(const backend_call& call) {
    if (call.more_body && !call.body_length) {
        return {body_framing::chunks, 0};
    }
    if (call.body_length) {
        return {body_framing::length, *call.body_length};
    }
    if (call.body) {
        return {body_framing::length, call.body->size()};
    }
    return {};
}

} // namespace

backend_connection::backend_connection(
    kernel::event_loop& loop, int descriptor, connection_target to,
    time_point began, backend_connection_handlers handlers,
    const kernel::memory_account_ptr& account)
    : to_(std::move(to)),
      began_(began),
      handlers_(std::move(handlers)),
      held_(account),
      socket_(loop, descriptor, true,
              {[this] { on_connected(); },
               [this](const char* bytes, std::size_t size) {
                   on_bytes(bytes, size);
               },
               [this] { on_end(); },
               [this] {
                   send_more();
                   count_held();
               }}) {}

void backend_connection::count_held() {
    const auto answer = call_ ? reader_.answer().body.capacity() : 0;
    held_.set(input_.capacity() + answer + socket_.buffered());
}

void backend_connection::send(backend_call call, long_answer_handlers on_long) {
    call_ = std::move(call);
    on_long_ = std::move(on_long);
    head_seen_ = false;
    head_judged_.reset();
    passing_over_ = false;
    long_begun_ = false;
    sent_before_ = socket_.bytes_out();
    received_before_ = socket_.bytes_in();
    reader_.expect(call_->method);
    body_sent_ = call_->more_body == nullptr;
    if (connected_) {
        begin_sending();
    }
}

void backend_connection::begin_sending() {
    const auto plan = plan_of(*call_);
    const auto head =
        request_head(call_->method, call_->target, call_->headers, plan);
    const bool chunked = plan.framing == body_framing::chunks;
    if (!call_->body || call_->body->empty()) {
        socket_.write(head, {});
    } else if (chunked) {
        socket_.write(head, chunk(*call_->body));
    } else {
        socket_.write(head, *call_->body);
    }
    if (call_->more_body) {
        call_->more_body->on_more([this] { send_more(); });
        send_more();
    }
    count_held();
}

// The rest of a long body, as fast as the server takes it.
void backend_connection::send_more() {
    if (!call_ || !call_->more_body || body_sent_ || socket_.waiting() > 0) {
        return;
    }
    const bool chunked = !call_->body_length;
    const auto bytes = call_->more_body->take();
    if (!bytes.empty()) {
        if (chunked) {
            socket_.write(chunk(bytes), {});
        } else {
            socket_.write(bytes, {});
        }
    }
    if (call_->more_body->complete() && bytes.empty()) {
        body_sent_ = true;
        if (chunked) {
            socket_.write(last_chunk(), {});
        }
    } else if (!bytes.empty() && socket_.waiting() == 0) {
        send_more();
    }
}

void backend_connection::on_connected() {
    connected_ = true;
    if (!call_) {
        return;
    }
    if (call_->still_wanted && !call_->still_wanted()) {
        finish(make_error(error_code::cancelled, "nobody waits for it"));
        return;
    }
    begin_sending();
}

void backend_connection::on_bytes(const char* bytes, std::size_t size) {
    if (!call_) {
        // Whatever this is, it answers nothing; the next call must not be
        // given it.
        usable_ = false;
        ++stray_answers_;
        note_malformed("bytes that answer nothing");
        handlers_.on_lost();
        return;
    }
    input_.append(bytes, size);
    read_on();
    count_held();
    const auto received = socket_.bytes_in() - received_before_;
    if (call_ && !head_seen_ && received > ahead_limit) {
        refuse("no answer to the call among many bytes");
    }
}

void backend_connection::note_malformed(const std::string& detail) {
    handlers_.on_malformed(detail);
}

// Ends the call, of which nobody can say whether it has run.
void backend_connection::refuse(const std::string& detail) {
    usable_ = false;
    note_malformed(detail);
    finish(make_error(error_code::malformed, detail));
}

void backend_connection::read_on() {
    while (call_ && take_step(reader_.read(input_))) {
    }
}

void backend_connection::resume() {
    socket_.resume_reading();
}

bool backend_connection::take_step(answer_reader::step step) {
    switch (step) {
    case answer_reader::step::need_more:
        return false;
    case answer_reader::step::faulty:
        refuse(reader_.fault());
        return false;
    case answer_reader::step::head:
        take_head();
        return call_.has_value();
    case answer_reader::step::body:
        take_body();
        return call_.has_value();
    case answer_reader::step::complete:
        take_complete();
        return true;
    }
    return false;
}

// Which call the answer is to, by its own word; null: it doesn't say.
const std::string* backend_connection::echoed() const {
    return call_->echo
               ? io::find_header(reader_.answer().headers, call_->echo->name)
               : nullptr;
}

void backend_connection::take_head() {
    const auto* of = echoed();
    passing_over_ = of != nullptr && *of != call_->echo->value;
    if (passing_over_) {
        // A second answer to an earlier request, come late. Ours is still to
        // come, but the connection is not to be trusted with another call.
        ++stray_answers_;
        usable_ = false;
        note_malformed("an answer to another call");
        return;
    }
    head_seen_ = true;
    kept_by_server_ = kept_by(reader_.answer());
    // Servers that refuse a request before they read it don't repeat what it
    // said. A second copy of such an answer could not be told from the answer
    // to the next call.
    usable_ = usable_ && (!call_->echo || of != nullptr);
}

// Whether the head can be an answer's. One that came whole at once is not asked
// about: its meaning is found out anyway.
bool backend_connection::may_be_answer() {
    if (!head_judged_) {
        head_judged_ =
            !on_long_.may_be_answer || on_long_.may_be_answer(reader_.answer());
    }
    return *head_judged_;
}

// How much of a body is waited for.
std::size_t backend_connection::body_limit() {
    if (to_.purpose == call_purpose::check) {
        return check_body_limit;
    }
    return may_be_answer() ? whole_answer_limit : no_answer_limit;
}

void backend_connection::take_body() {
    auto& answer = reader_.answer();
    if (passing_over_) {
        answer.body.clear();
        return;
    }
    const bool is_long = answer.body.size() > body_limit();
    if (!is_long && !long_begun_) {
        return;
    }
    if (!may_be_answer()) {
        usable_ = false;
        note_malformed("a body without end behind a head of no answer");
        finish(std::move(answer));
        return;
    }
    if (!on_long_.on_begin) {
        refuse("the body is too long");
        return;
    }
    take_long_body(!long_begun_);
}

void backend_connection::take_long_body(bool begins) {
    auto& answer = reader_.answer();
    long_begun_ = true;
    if (begins && !on_long_.on_begin(answer, reader_.body_length())) {
        usable_ = false;
        finish(std::move(answer));
        return;
    }
    on_long_.on_bytes(std::exchange(answer.body, {}));
}

void backend_connection::take_complete() {
    if (passing_over_) {
        passing_over_ = false;
        reader_.expect(call_->method);
        return;
    }
    if (long_begun_ && !reader_.answer().body.empty()) {
        on_long_.on_bytes(std::exchange(reader_.answer().body, {}));
    }
    // Bytes after the answer belong to no request, and an answer that comes
    // before the whole request was sent leaves the rest of it on the wire.
    usable_ = usable_ && reader_.keep_alive() && input_.empty() && body_sent_ &&
              socket_.waiting() == 0;
    if (!input_.empty()) {
        ++stray_answers_;
        note_malformed("bytes after the answer");
    }
    finish(std::move(reader_.answer()));
}

void backend_connection::on_end() {
    usable_ = false;
    if (!call_) {
        handlers_.on_lost();
        return;
    }
    const bool closed_in_order = socket_.end_reason() == 0;
    if (closed_in_order && head_seen_ &&
        reader_.read_end() == answer_reader::step::complete) {
        take_complete();
        return;
    }
    const bool refused = !connected_ && socket_.end_reason() == ECONNREFUSED;
    const auto code = refused ? error_code::refused : error_code::unavailable;
    const char* detail = refused      ? "nothing listens there"
                         : head_seen_ ? "the answer was cut short"
                                      : "the connection ended";
    finish(make_error(code, detail));
}

void backend_connection::give_up(error_code code, const std::string& detail) {
    usable_ = false;
    if (call_) {
        finish(make_error(code, detail));
    }
}

error backend_connection::make_error(error_code code,
                                     const std::string& detail) const {
    return {code, sent() ? "await answer" : "connect", to_.address, detail};
}

void backend_connection::finish(result<io::http_response> response) {
    backend_result ended{std::move(response), sent(), std::nullopt, began_};
    if (!ended.response && head_seen_) {
        ended.partial = std::move(reader_.answer());
    }
    if (call_->more_body) {
        call_->more_body->on_more({});
    }
    call_.reset();
    on_long_ = {};
    handlers_.on_done(std::move(ended));
}

void backend_connection::close() {
    if (call_ && call_->more_body) {
        call_->more_body->on_more({});
    }
    call_.reset();
    usable_ = false;
    socket_.close();
}

} // namespace waxwingvale::forwarding
