#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

// Header names are kept in lower case.
using headers = std::map<std::string, std::string>;

// A request or an answer, read from a connection.
struct message {
    std::string start_line;
    headers fields;
    std::string body;
    bool complete = false; // head and body have come whole

    std::string field(const std::string& name) const;
    int status() const;         // of an answer; 0: there is none
    std::string method() const; // of a request
    std::string target() const; // of a request
};

// A TCP connection with blocking calls, closed with the object.
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool valid() const { return descriptor_ >= 0; }
    // Sends all bytes, or returns false.
    bool send(const std::string& bytes);
    // Reads the next message. A request without a length has no body; an
    // answer without one ends with its connection. Empty: the other end closed
    // before the first byte, or nothing came in time.
    std::optional<message> read(bool is_request);
    // Ends reads that nothing comes for.
    void limit_wait(int milliseconds);
    void reset(); // closes with a reset
    void close();

private:
    bool more();
    bool read_line(std::string& line);
    bool read_bytes(std::size_t count, std::string& to);
    bool read_chunks(std::string& to);

    int descriptor_;
    std::string input_;
};

// -1 if it fails.
int connect_to(const std::string& host, std::uint16_t port);
int listen_on(const std::string& host, std::uint16_t port);
std::uint16_t port_of(int listener);
int accept_from(int listener);
void close_descriptor(int descriptor);

// A body in chunks of the size.
std::string chunked(const std::string& body, std::size_t size);
// A whole answer with a length.
std::string answer_text(int status, const std::string& reason,
                        const headers& fields, const std::string& body);

} // namespace review
