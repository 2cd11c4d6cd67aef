#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/caller_limits.hpp>

namespace waxwingvale::forwarding {

// Why bytes of a caller are not taken as a request: the status it is told,
// and what is wrong, for people.
struct request_fault {
    unsigned status = 400;
    std::string detail;
};

// Reads requests, one after the other, from the bytes of one connection.
class request_reader {
public:
    enum class step {
        need_more, // nothing can be said until more bytes have come
        head,      // line and headers are there; the body may follow
        body,      // bytes were added to the request's body
        complete,  // the request is whole
        faulty     // the bytes are no request; see fault()
    };

    request_reader();
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    // Uses bytes from the front of the input, up to the next step.
    step read(std::string& input, const caller_limits& limits);
    // Forgets the request that was read; the next one may begin.
    void next();

    // True between the first byte of a request and its last.
    bool reading(const std::string& input) const;
    // What has been read so far. The body may be taken out at any time.
    io::http_request& request();
    // Bytes of memory that it takes.
    std::size_t held() const;
    const request_fault& fault() const;
    bool keep_alive() const;
    bool is_http_1_0() const;
    // The caller waits for an interim answer before it sends the body.
    bool expects_continue() const;
    // The length that the head names; nothing for chunks.
    std::optional<std::uint64_t> content_length() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::forwarding
