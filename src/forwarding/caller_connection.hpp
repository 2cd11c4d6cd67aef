#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/forwarding/caller_exchange.hpp>
#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/forwarding/overload_guard.hpp>
#include <waxwingvale/kernel/memory_account.hpp>
#include <waxwingvale/model/caller_limits.hpp>

#include "forwarding/request_reader.hpp"
#include "forwarding/wire_text.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::forwarding {

// What the connections of one server share.
struct caller_connection_frame {
    caller_limits limits;
    overload_guard_ptr guard;
    std::size_t receive_buffer = 0; // bytes; 0: the system's
    bool ask_to_close = false;
    std::size_t pending = 0; // requests without a complete answer
    caller_server_counters counters;
    std::function<time_point()> now;
    std::function<void(caller_exchange_ptr)> on_request;
    std::function<void(caller_connection&)> on_closed;
    std::function<void(const ended_request&)> on_request_ended;
};

// One connection of a caller: requests are read and answered one at a time, in
// order, whatever the caller sends ahead.
class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      shed_candidate {
public:
    caller_connection(kernel::event_loop& loop, int descriptor,
                      std::string peer, caller_connection_frame& frame);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    // Closes it if its head or its next request did not come in time, or if
    // the caller does not close its side after our last answer.
    void look_at_time(time_point now);
    void close_if_idle();
    // What it is to one who looks for room; nothing while a request is with
    // the instance, or an answer on its way.
    std::optional<decision::open_connection> replaceable() const;
    // Closes it in favour of another.
    void give_way(overload_limit limit);
    // Reports what is open; the server goes.
    void report_stopped();

    // For the exchange.
    void answer(io::http_response whole);
    void begin_answer(const io::http_response& head,
                      std::optional<std::uint64_t> length);
    void add(std::string_view body);
    void end_answer();
    void break_off(request_end why);
    void body_taken();
    std::size_t waiting() const { return socket_.waiting(); }
    bool caller_has_left() const { return socket_.peer_has_closed(); }

private:
    enum class phase {
        reading,   // a request, or waiting for one
        answering, // a request was handed over
        closing    // all is said; the caller is to close its side
    };

    void on_bytes(const char* bytes, std::size_t size);
    void on_end();
    void on_drained();
    void begin_head();
    caller_limits limits() const;
    void read_on();
    void read_steps();
    // Each tells whether to go on reading.
    bool take_step(request_reader::step step);
    bool take_head();
    void hand_over(bool complete);
    void refuse(unsigned status, const std::string& detail,
                io::http_headers headers = {});
    body_plan plan_of(unsigned status,
                      std::optional<std::uint64_t> length) const;
    bool sent_ahead() const;
    bool closes_after_answer() const;
    void finish_exchange();
    void abandon_exchange(request_end why);
    void begin_closing();
    decision::held_connection holding() const override;
    void shed() override;
    std::size_t held_bytes() const;
    void count_held();
    void drop_input();
    bool nothing_asked() const;
    void catch_up();
    void close_unasked();
    void linger(time_point now);
    void give_up_slow_head(time_point now);
    void close_too_idle(time_point now);
    void report_discarded();
    ended_request end_of(const caller_exchange& exchange,
                         request_end end) const;
    void report(const ended_request& ended);
    void report_given(request_end end);
    void close();
    void close_socket();
    void hold_back();

    caller_connection_frame& frame_;
    kernel::memory_charge held_;
    std::string peer_;
    // Answered requests of whose answers some bytes still wait to go out.
    std::vector<ended_request> given_;
    unsigned status_ = 0;          // of the answer that was given or begun
    time_point handed_over_{};     // the request that is under way
    bool announced_close_ = false; // an answer told the caller of the end
    // What comes after the end was reported, or is the rest of a request that
    // was answered before all of it had come.
    bool rest_is_known_ = false;
    phase phase_ = phase::reading;
    request_reader reader_;
    std::string input_;
    caller_exchange_ptr exchange_;
    bool head_request_ = false; // HEAD: answers have no body
    bool http_1_0_ = false;
    bool chunked_answer_ = false;
    bool answer_begun_ = false; // and not at its end
    bool close_after_ = false;
    bool closed_ = false;
    bool proven_ = false; // it has brought a whole request
    bool head_begun_ = false;
    caller_limits at_begin_; // in force when the head began
    bool reading_on_ = false;
    // Of the phase, the head's first byte, or the last progress of the end.
    time_point since_{};
    std::size_t last_on_its_way_ = 0;
    io::stream_socket socket_;
};

} // namespace waxwingvale::forwarding
