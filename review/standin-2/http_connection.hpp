#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace waxwingvale::review {

// One HTTP/1.1 message: the words of its first line, its headers by lower-case
// name, and its body.
struct http_message {
    std::string first;  // method, or version
    std::string second; // target, or status
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    int status() const;
};

// A blocking connection on a loopback address, closed with the object.
class http_connection {
public:
    explicit http_connection(int descriptor) : descriptor_(descriptor) {}
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    // Whether all bytes were handed to the system.
    bool write(const std::string& bytes);
    // The next message, bodies with a length only; nothing if the connection
    // ends before it is complete.
    std::optional<http_message> read();
    // Its first line and headers only; the body is what follows.
    std::optional<http_message> read_head();
    bool read_body(http_message& of);

    // On a server's side: bytes that it has yet to send after an answer that
    // was complete.
    std::string late_bytes;

private:
    bool read_more();

    int descriptor_;
    std::string input_;
};

// A descriptor, or -1 if no connection comes about.
int connect_to(std::uint16_t port);

// Calls the handler with each accepted connection, on a thread of its own. The
// thread that accepts lives until the process ends.
std::uint16_t
serve_connections(std::function<void(http_connection& accepted)> handler);

// A port of 127.0.0.1 that nobody listens on, below the range from which the
// system takes ports for outgoing connections.
std::uint16_t free_port();

} // namespace waxwingvale::review
