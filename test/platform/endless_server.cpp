#include "platform/endless_server.hpp"

#include <utility>

#include "forwarding/wire_text.hpp"
#include "standin/process.hpp"

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;

constexpr const char* check_target = "/healthz";
constexpr std::size_t piece_size = 256 * 1024; // bytes
constexpr duration piece_period = 1ms;
constexpr duration idle_before_bytes = 20ms;

// What is sent once, and then again and again.
struct byte_stream {
    std::string begin;
    std::string again;
};

std::string head_of(const std::string& attempt, const std::string& more) {
    return "HTTP/1.1 200 OK\r\nWaxwingvale-Response-Signature: s\r\n"
           "Waxwingvale-Attempt-Id: " +
           attempt + "\r\n" + more + "\r\n";
}

byte_stream stream_of(endless_bytes what, const std::string& attempt) {
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    switch (what) {
    case endless_bytes::head_lines:
        return {"HTTP/1.1 200 OK\r\n", "X-Line: of a head\r\n"};
    case endless_bytes::one_line:
        return {"HTTP/1.1 200 OK\r\nX-Line: ", "more "};
    case endless_bytes::interim_answers:
        return {"", "HTTP/1.1 103 Early Hints\r\nX-Line: hint\r\n\r\n"};
    case endless_bytes::other_answers:
        return {"", head_of("of nobody", "Content-Length: 4\r\n") + "body"};
    case endless_bytes::unsigned_body:
        return {"HTTP/1.1 200 OK\r\n" + chunked + "\r\n", "4\r\nbody\r\n"};
    case endless_bytes::chunk_extension:
        return {head_of(attempt, chunked) + "4;x=", "more"};
    case endless_bytes::trailers:
        return {head_of(attempt, chunked) + "4\r\nbody\r\n0\r\n",
                "X-Line: of a trailer\r\n"};
    case endless_bytes::after_answer:
        return {head_of(attempt, "Content-Length: 4\r\n") + "body", "more"};
    }
    return {};
}

std::string piece_of(const std::string& again) {
    std::string piece;
    while (piece.size() < piece_size) {
        piece += again;
    }
    return piece;
}

std::string attempt_of(const io::http_request& request) {
    const auto* id = io::find_header(request.headers, "Waxwingvale-Attempt-Id");
    return id == nullptr ? std::string() : *id;
}

} // namespace

endless_server::endless_server(kernel::event_loop& loop,
                               kernel::timer_service& timers, std::string id)
    : loop_(loop),
      timers_(timers),
      id_(std::move(id)),
      listener_(loop, [this](int descriptor) { accept(descriptor); }) {
    listener_.open(standin::free_port());
}

void endless_server::begin(endless_bytes what, endless_at where) {
    what_ = what;
    where_ = where;
    active_ = true;
}

void endless_server::accept(int descriptor) {
    auto& made = connections_.emplace_back();
    made.socket = std::make_unique<io::stream_socket>(
        loop_, descriptor, false,
        io::stream_socket_handlers{
            {},
            [this, &made](const char* bytes, std::size_t size) {
                read(made, bytes, size);
            },
            [this, &made] { close(made); },
            {}});
}

void endless_server::close(connection& which) {
    which.open = false;
    which.sending.cancel();
    closed_ += which.endless ? 1 : 0;
    which.socket->close();
}

void endless_server::read(connection& from, const char* bytes,
                          std::size_t size) {
    from.input.append(bytes, size);
    using step = forwarding::request_reader::step;
    for (auto at = from.reader.read(from.input, {});
         at != step::need_more && at != step::faulty;
         at = from.reader.read(from.input, {})) {
        if (at == step::complete) {
            const auto request = from.reader.request();
            from.reader.next();
            take(from, request);
            return; // callers send one request at a time
        }
    }
}

void endless_server::take(connection& from, const io::http_request& request) {
    const bool is_check = request.target == check_target;
    if (!is_check && on_arrival) {
        on_arrival(request);
    }
    const bool meant = where_ == endless_at::checks     ? is_check
                       : where_ == endless_at::requests ? !is_check
                                                        : false;
    if (active_ && meant && (is_check || chooses(request))) {
        flood(from, request);
        return;
    }
    answer(from, request);
    if (active_ && where_ == endless_at::kept) {
        from.sending = timers_.after(
            idle_before_bytes,
            [this, &from, request](time_point) { flood(from, request); });
    }
}

void endless_server::answer(connection& to, const io::http_request& request) {
    io::http_headers headers = {{"Waxwingvale-Instance-Id", id_},
                                {"Waxwingvale-Server-Load", "0,0,4"}};
    if (request.target != check_target) {
        headers.push_back({"Waxwingvale-Response-Signature", "s"});
        headers.push_back({"Waxwingvale-Attempt-Id", attempt_of(request)});
    }
    const std::string body = "done";
    to.socket->write(
        forwarding::answer_head(200, headers,
                                {forwarding::body_framing::length, body.size()},
                                false),
        body);
}

void endless_server::flood(connection& to, const io::http_request& request) {
    if (!to.open) {
        return;
    }
    to.endless = true;
    ++begun_;
    const auto stream = stream_of(what_, attempt_of(request));
    to.socket->write(stream.begin, {});
    to.sending = timers_.every(
        piece_period, [&to, piece = piece_of(stream.again)](time_point) {
            if (to.socket->waiting() == 0) {
                to.socket->write(piece, {});
            }
        });
}

} // namespace waxwingvale::platform
