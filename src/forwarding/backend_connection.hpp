#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/forwarding/backend_call.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/memory_account.hpp>

#include "forwarding/answer_reader.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::forwarding {

// What a connection tells its pool. None is called from within a call of the
// pool's.
struct backend_connection_handlers {
    // The call ended; the connection is kept or closed as usable() says.
    std::function<void(backend_result)> on_done;
    // An idle connection ended, or brought bytes that nobody asked for.
    std::function<void()> on_lost;
    // Bytes came that are no answer, or none to the call; told before either of
    // the others.
    std::function<void(const std::string& detail)> on_malformed;
};

// Where a connection leads, and what for.
struct connection_target {
    std::string backend_server;
    std::string address; // for errors
    call_purpose purpose = call_purpose::request;
};

// One connection to a backend server, with at most one call on it at a time.
class backend_connection {
public:
    backend_connection(kernel::event_loop& loop, int descriptor,
                       connection_target to, time_point began,
                       backend_connection_handlers handlers,
                       const kernel::memory_account_ptr& account = nullptr);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    const std::string& backend_server() const { return to_.backend_server; }
    call_purpose purpose() const { return to_.purpose; }
    time_point began() const { return began_; }
    void send(backend_call call, long_answer_handlers on_long);
    // Ends the call with that error, unless it ended before.
    void give_up(error_code code, const std::string& detail);
    void close();
    void pause() { socket_.pause_reading(); }
    void resume();
    // Takes what has come on a connection that no call is on: its server's
    // close, or bytes that answer nothing, end it.
    void catch_up() { socket_.read_now(); }

    bool connected() const { return connected_; }
    // Whether a byte of the call's request has left.
    bool sent() const { return socket_.bytes_out() > sent_before_; }
    // Whether a further call may go out on it.
    bool usable() const { return usable_; }
    bool idle() const { return !call_; }
    // How long the server keeps it open when nothing is sent; nothing when it
    // did not say.
    std::optional<duration> kept_by_server() const { return kept_by_server_; }
    std::uint64_t stray_answers() const { return stray_answers_; }

private:
    void on_connected();
    void begin_sending();
    void on_bytes(const char* bytes, std::size_t size);
    void on_end();
    void send_more();
    void read_on();
    void count_held();
    bool take_step(answer_reader::step step);
    void take_head();
    const std::string* echoed() const;
    bool may_be_answer();
    std::size_t body_limit();
    void take_body();
    void take_long_body(bool begins);
    void take_complete();
    void note_malformed(const std::string& detail);
    void refuse(const std::string& detail);
    void finish(result<io::http_response> response);
    error make_error(error_code code, const std::string& detail) const;

    connection_target to_;
    time_point began_;
    backend_connection_handlers handlers_;
    std::optional<backend_call> call_;
    long_answer_handlers on_long_;
    answer_reader reader_;
    std::string input_;
    bool connected_ = false;
    bool usable_ = true;
    bool head_seen_ = false;          // of the answer to this call
    std::optional<bool> head_judged_; // see may_be_answer()
    bool passing_over_ = false;
    bool long_begun_ = false;
    bool body_sent_ = true;
    std::uint64_t sent_before_ = 0; // bytes, when this call began
    std::uint64_t received_before_ = 0;
    std::uint64_t stray_answers_ = 0;
    std::optional<duration> kept_by_server_;
    kernel::memory_charge held_; // of a request and its answer
    io::stream_socket socket_;
};

} // namespace waxwingvale::forwarding
