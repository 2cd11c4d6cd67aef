#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <waxwingvale/forwarding/request_end.hpp>
#include <waxwingvale/io/http_message.hpp>

namespace waxwingvale::forwarding {

class caller_connection;

// One request of a caller, from its head to the end of its answer. It lives as
// long as somebody holds it; once the caller has gone, what is answered is
// dropped.
class caller_exchange {
public:
    caller_exchange(std::weak_ptr<caller_connection> on,
                    io::http_request received);
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    const io::http_request& request() const { return request_; }
    // Moves it out, for one who keeps it; request() is empty afterwards.
    io::http_request take_request() { return std::move(request_); }
    // Puts one back that was moved out and changed.
    void put_back(io::http_request request) { request_ = std::move(request); }

    // What the request is called in the record of its end.
    void give_name(std::string name) { name_ = std::move(name); }
    const std::string& name() const { return name_; }

    // The request is handed over with its whole body, or with the first part
    // of a long one. The rest comes by take_body(), and the caller is held
    // back while it is not taken.
    bool body_complete() const { return body_complete_; }
    // The length that the caller named; nothing for chunks.
    std::optional<std::uint64_t> body_length() const { return body_length_; }
    // What has come since the last call, or since the request was handed over.
    std::string take_body();
    void on_body(std::function<void()> handler) {
        on_body_ = std::move(handler);
    }

    // Called when the caller leaves before its answer is complete.
    void on_abandoned(std::function<void()> handler) {
        on_abandoned_ = std::move(handler);
    }
    bool abandoned() const { return abandoned_; }
    // Called when the instance must give up what the exchange holds: answers it
    // at once as not run and returns true, or leaves that it is broken off.
    void on_shed(std::function<bool()> handler) {
        on_shed_ = std::move(handler);
    }
    // Whoever took the request out says what memory it takes there.
    void set_kept(std::size_t bytes) { kept_ = bytes; }
    // Whether the caller has left as far as can be known at this moment: its
    // close may have come and not be read, so that on_abandoned is still to be
    // called. Asks the system, so it is for moments that matter.
    bool caller_has_left() const;

    // The answer, whole. Only the first answer counts.
    void answer(io::http_response whole);

    // The answer in pieces: its head with the body's length, or without one,
    // then the body, then its end.
    void begin_answer(io::http_response head,
                      std::optional<std::uint64_t> length);
    void add(std::string_view body);
    void end_answer();
    // Bytes that the caller has not taken yet; whoever sends faster than the
    // caller reads waits for on_drained.
    std::size_t waiting() const;
    void on_drained(std::function<void()> handler) {
        on_drained_ = std::move(handler);
    }
    // Ends the connection so that the caller sees that its answer is not
    // whole.
    void break_off(request_end why);

    // No answer, or no further part of one, can be given any more.
    bool finished() const { return finished_ || abandoned_; }

private:
    friend class caller_connection;

    std::weak_ptr<caller_connection> connection_;
    io::http_request request_;
    std::string name_;
    // Bytes of memory that it takes itself.
    std::size_t held() const;

    std::size_t kept_ = 0;   // see set_kept()
    std::string later_body_; // came after the request was handed over
    bool body_complete_ = true;
    std::optional<std::uint64_t> body_length_;
    bool begun_ = false;
    bool finished_ = false;
    bool abandoned_ = false;
    std::function<void()> on_body_;
    std::function<void()> on_abandoned_;
    std::function<bool()> on_shed_;
    std::function<void()> on_drained_;
};

using caller_exchange_ptr = std::shared_ptr<caller_exchange>;

} // namespace waxwingvale::forwarding
