#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "forwarding/request_reader.hpp"
#include "io/stream_socket.hpp"
#include "standin/listening_socket.hpp"

namespace waxwingvale::platform {

// What a stand-in server does with a request.
enum class run_end {
    answer,           // 200 with a signature
    fail,             // 500, signed as well
    refuse,           // 503, not executed
    garble,           // 200 without a signature
    reset_connection, // this connection only; the server lives on
    close_connection,
    cut_answer,  // half of an answer, then a close; the server lives on
    stay_silent, // no answer on this connection; the server lives on
    end_process  // the server ends, in the way that it is told to
};

// How callers see a server's process end.
enum class process_end {
    reset,       // all connections are reset and nothing listens any more
    close,       // all connections are closed and nothing listens any more
    half_answer, // the same after half of an answer
    silence,     // no connection gets another byte, new ones neither
    replaced     // reset; the next process listens at once
};

// What a server does with the connections of a sender from which it is
// partitioned.
enum class sender_cut {
    reset,     // resets those that are open, and new ones
    silence,   // takes what comes and sends nothing, on open and new ones
    new_resets // serves those that are open, and resets new ones
};

// A backend server as the platform's instances meet it, whose process may end
// under a request. Each process has an id of its own; the address stays.
class ending_server {
public:
    struct hooks {
        std::function<run_end(const io::http_request&)> decide;
        std::function<void(ending_server&)> on_end;
    };

    ending_server(kernel::event_loop& loop, kernel::timer_service& timers,
                  hooks told);
    ending_server(const ending_server&) = delete;
    ending_server& operator=(const ending_server&) = delete;

    // Begins the next process, at the address of the first.
    void start(const std::string& id);
    void end(process_end how);
    // Resets all connections; the server lives on.
    void reset_connections();
    // Is partitioned from that sender, as told by who_connects, until healed.
    void cut(std::size_t sender, sender_cut how);
    void heal(std::size_t sender) { cuts_.erase(sender); }

    const std::string& id() const { return id_; }
    std::uint16_t port() const { return port_; }
    bool up() const { return up_; }
    // Tells who opened a connection, by the sender's port; empty: nobody asks.
    std::function<std::optional<std::size_t>(std::uint16_t port)> who_connects;
    // The body of an answer to that request.
    std::function<std::string(const io::http_request&)> body_of =
        [](const io::http_request&) { return std::string("done"); };
    // Called with each request that is no health check, run or not.
    std::function<void(const io::http_request&)> on_arrival;
    process_end ends_by = process_end::reset;
    unsigned abandoned = 0; // requests whose caller left while they ran
    duration work = std::chrono::milliseconds(5);
    duration ends_after = std::chrono::milliseconds(20);
    // Running, waiting, slots, as told in answers.
    std::string load = "0,0,4";
    bool ends_for_nobody = false; // also when the caller's connection has gone
    bool says_ill =
        false; // in answers to liveness checks; it works all the same
    // Each answer to a liveness check comes again when the connection brings
    // the next request.
    bool repeats_checks = false;

private:
    struct connection {
        std::unique_ptr<io::stream_socket> socket;
        forwarding::request_reader reader;
        std::string input;
        kernel::timer_service::subscription running;
        std::string body = "done"; // of the answer to come
        std::string late;          // sent before the next answer
        std::optional<std::size_t> sender;
        bool open = true;
        bool at_work = false;
        bool silent = false; // partitioned: nothing is read or sent
    };

    void accept(int descriptor);
    void read(connection& from, const char* bytes, std::size_t size);
    void take(connection& from, const io::http_request& request);
    void run(connection& from, const io::http_request& request);
    void finish(connection& from, run_end how, const std::string& attempt);
    void answer_check(connection& to);
    void answer(connection& to, unsigned status, io::http_headers headers);
    std::string answer_text(unsigned status, io::http_headers headers,
                            const std::string& body) const;
    void close(connection& which);
    void end_under(connection& with);

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    hooks told_;
    std::string id_;
    std::uint16_t port_ = 0;
    bool up_ = false;
    standin::listening_socket listener_;
    std::list<connection> connections_;
    std::map<std::size_t, sender_cut> cuts_; // by sender
};

} // namespace waxwingvale::platform
