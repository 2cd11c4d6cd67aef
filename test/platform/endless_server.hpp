#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "forwarding/request_reader.hpp"
#include "io/stream_socket.hpp"
#include "standin/listening_socket.hpp"

namespace waxwingvale::platform {

// Bytes that are no answer, without end.
enum class endless_bytes {
    head_lines,      // of a head that never ends
    one_line,        // of a head, without its end
    interim_answers, // 1xx
    other_answers,   // whole ones, to requests that nobody sent there
    unsigned_body,   // of a success that no server has signed
    chunk_extension, // of the first chunk of a signed success
    trailers,        // after the last chunk of a signed success
    after_answer     // after a whole answer
};

// Where a server sends them.
enum class endless_at {
    requests, // in place of answers to requests that `chooses` picks
    checks,   // in place of answers to liveness checks
    kept      // on connections that it has answered on and that are kept
};

// A backend server that sends bytes without end until the other side closes
// the connection; what it does not choose for that it answers in order.
class endless_server {
public:
    endless_server(kernel::event_loop& loop, kernel::timer_service& timers,
                   std::string id);
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const std::string& id() const { return id_; }
    std::uint16_t port() const { return listener_.port(); }
    void begin(endless_bytes what, endless_at where);
    // Begins it on no further connection.
    void end() { active_ = false; }
    std::function<bool(const io::http_request&)> chooses =
        [](const io::http_request&) { return true; };
    std::function<void(const io::http_request&)> on_arrival;
    // Connections that got such bytes, and those of them that were closed.
    unsigned begun() const { return begun_; }
    unsigned closed() const { return closed_; }

private:
    struct connection {
        std::unique_ptr<io::stream_socket> socket;
        forwarding::request_reader reader;
        std::string input;
        kernel::timer_service::subscription sending;
        bool endless = false;
        bool open = true;
    };

    void accept(int descriptor);
    void read(connection& from, const char* bytes, std::size_t size);
    void take(connection& from, const io::http_request& request);
    void answer(connection& to, const io::http_request& request);
    void flood(connection& to, const io::http_request& request);
    void close(connection& which);

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    std::string id_;
    standin::listening_socket listener_;
    std::list<connection> connections_;
    bool active_ = false;
    endless_bytes what_ = endless_bytes::head_lines;
    endless_at where_ = endless_at::requests;
    unsigned begun_ = 0;
    unsigned closed_ = 0;
};

} // namespace waxwingvale::platform
