#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <waxwingvale/io/http_message.hpp>

namespace waxwingvale::forwarding {

// Reads answers, one after the other, from the bytes of one connection to a
// backend server. Interim answers (1xx) are passed over.
class answer_reader {
public:
    enum class step {
        need_more, // nothing can be said until more bytes have come
        head,      // status and headers are there; the body may follow
        body,      // bytes were added to the answer's body
        complete,  // the answer is whole
        faulty     // the bytes are no answer; see fault()
    };

    answer_reader();
    ~answer_reader();
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;

    // The next answer is to a request of that method.
    void expect(const std::string& method);
    // Uses bytes from the front of the input, up to the next step.
    step read(std::string& input);
    // The peer closed the connection in order: an answer without a length is
    // complete by that, any other one is cut short.
    step read_end();

    // What has been read so far. The body may be taken out at any time.
    io::http_response& answer();
    const io::http_response& answer() const;
    // The body's length, where the head names it.
    std::optional<std::uint64_t> body_length() const;
    const std::string& fault() const;
    // The server keeps the connection open after this answer.
    bool keep_alive() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::forwarding
