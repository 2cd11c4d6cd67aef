#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwingvale::io {

// What a websocket tells its owner, from within feed() and the start calls.
struct link_websocket_handlers {
    std::function<void(const char* bytes, std::size_t size)> on_output;
    std::function<void()> on_open;
    std::function<void(const std::string& message)> on_message;
    std::function<void(bool too_large)> on_failed; // not a valid websocket
};

class link_websocket;

// What all websockets of a hub share in the library; outlives them.
class link_websocket_factory {
public:
    link_websocket_factory();
    ~link_websocket_factory();
    std::unique_ptr<link_websocket> accept(link_websocket_handlers handlers);
    std::unique_ptr<link_websocket> dial(const std::string& address,
                                         link_websocket_handlers handlers);

private:
    struct state;
    std::unique_ptr<state> state_;
};

// The websocket protocol of one connection by websocketpp, over its iostream
// transport: bytes are fed in and handed out, the sockets are the owner's.
class link_websocket {
public:
    struct state;
    explicit link_websocket(std::unique_ptr<state> of);
    ~link_websocket();
    link_websocket(const link_websocket&) = delete;
    link_websocket& operator=(const link_websocket&) = delete;

    // Begins the opening handshake.
    void start();
    void feed(const char* bytes, std::size_t size);
    void send(const std::vector<std::uint8_t>& message);
    void ping();
    // Larger messages fail the websocket before they are taken in.
    void limit_messages(std::size_t bytes);
    // Ends the library's part; not from within one of the handlers.
    void finish();

private:
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::io
