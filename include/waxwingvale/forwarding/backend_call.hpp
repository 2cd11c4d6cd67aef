#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::forwarding {

// The part of a long request body that comes while its head is already on its
// way. The sender takes what is there and is told when there is more.
class body_stream {
public:
    virtual ~body_stream() = default;
    virtual std::string take() = 0;
    virtual bool complete() const = 0;
    // The handler is called when more has come, until the stream is gone.
    virtual void on_more(std::function<void()> handler) = 0;
};

// Whose answer is expected: a header that the backend server repeats. An answer
// with another value belongs to a request before, and is passed over.
struct echoed_header {
    std::string name;
    std::string value;
};

// What a connection is used for. Answers to checks bear nothing that tells them
// from answers to requests: a second one that comes late would be taken for the
// answer to a request, so no connection serves both.
enum class call_purpose { request, check };

// A request to a backend server.
struct backend_call {
    std::string backend_server; // what its connections are kept under
    std::string host;           // IP number
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    io::http_headers headers; // all that go out, but for those of the body
    std::shared_ptr<const std::string> body; // null: none
    // The rest of the body after `body`, and the whole length if it is known.
    std::shared_ptr<body_stream> more_body;
    std::optional<std::uint64_t> body_length;
    std::optional<echoed_header> echo;
    // Asked once, right before the first byte goes out: making a connection
    // takes time, and nobody may want the request any more. The call then ends
    // with cancelled. Empty: send it.
    std::function<bool()> still_wanted;
    duration connect_timeout = std::chrono::milliseconds(300);
    // A kept connection is used only when it was last used at most so long
    // ago; zero: a new one. A connection that has been idle may have been
    // forgotten by the other end, and a request sent on it is lost without a
    // word of whether it ran.
    duration kept_for{};
    call_purpose purpose = call_purpose::request;
};

// How a call ended.
struct backend_result {
    result<io::http_response> response;
    // False when provably no byte of the request left this process.
    bool sent = false;
    // The answer came in part: its status and headers are in `partial`.
    std::optional<io::http_response> partial;
    // When the connection was begun on which it went, or one was refused at
    // once.
    time_point connecting_began{};
};

// Told of an answer that is longer than is waited for: from its head on it
// comes in pieces, and the result brings no body.
struct long_answer_handlers {
    // Whether the head may be that of an answer, asked when a part of its body
    // has come. If not, little of the body is waited for, and the call ends
    // with what has come. Empty: it may.
    std::function<bool(const io::http_response& head)> may_be_answer;
    // Whether the body is wanted; if not, the call ends with what has come.
    std::function<bool(const io::http_response& head,
                       std::optional<std::uint64_t> length)>
        on_begin;
    std::function<void(std::string bytes)> on_bytes;
};

} // namespace waxwingvale::forwarding
