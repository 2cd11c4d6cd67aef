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

// What becomes of a connection behind the bytes of an answer.
enum class answer_ending {
    keep,
    close,        // in order, all that came being read
    close_unread, // with bytes unread, for which the system sends a reset
    reset
};

// Bytes that a server sends in place of an answer of its own; "{id}" in them
// stands for the id of the request.
struct scripted_answer {
    std::string bytes;
    answer_ending ending = answer_ending::keep;
    // Sent once the head has come; else once the request is whole.
    bool at_head = false;
    // Goes on reading the request once they are sent.
    bool reads_on = true;
    // From the bytes to the end.
    duration until_ending{};
};

// A backend server that answers what a test scripts, and everything else with
// a signed 200 whose body names the request.
class scripted_server {
public:
    using script = std::function<std::optional<scripted_answer>(
        const io::http_request& head)>;

    scripted_server(kernel::event_loop& loop, kernel::timer_service& timers,
                    std::string id, script answers);
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    const std::string& id() const { return id_; }
    // The entry under which the platform lists it.
    std::string entry() const;
    std::uint16_t port() const { return listener_.port(); }
    // Resets all connections; new ones are taken.
    void reset_connections();
    // How often it got the request of that id.
    unsigned arrivals(const std::string& attempt) const;
    unsigned connections_made() const { return connections_made_; }
    // Connections on which another request came behind scripted bytes.
    unsigned used_again() const { return used_again_; }

private:
    struct connection {
        std::unique_ptr<io::stream_socket> socket;
        forwarding::request_reader reader;
        std::string input;
        std::string attempt; // the id of the request under way
        std::optional<scripted_answer> chosen;
        kernel::timer_service::subscription ending;
        bool scripted = false; // scripted bytes were sent on it
        bool open = true;
    };

    void accept(int descriptor);
    void read(connection& from, const char* bytes, std::size_t size);
    void take_head(connection& from);
    void take_whole(connection& from);
    void send(connection& to);
    void end(connection& which);
    void answer(connection& to, const std::string& target);

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    std::string id_;
    script script_;
    std::map<std::string, unsigned> arrivals_; // by request's id
    unsigned connections_made_ = 0;
    unsigned used_again_ = 0;
    std::list<connection> connections_;
    standin::listening_socket listener_;
};

// The path of its liveness check.
constexpr const char* scripted_check_path = "/healthz";

} // namespace waxwingvale::platform
