#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "forwarding/request_reader.hpp"

using namespace waxwingvale;
using forwarding::request_reader;
using step = request_reader::step;

namespace {

// Reads until more bytes are needed or a request is complete or faulty.
step read_all(request_reader& reader, std::string& input,
              const caller_limits& limits = {}) {
    auto last = reader.read(input, limits);
    while (last == step::head || last == step::body) {
        last = reader.read(input, limits);
    }
    return last;
}

unsigned refusal_of(std::string input) {
    request_reader reader;
    return read_all(reader, input) == step::faulty ? reader.fault().status : 0;
}

const std::string get = "GET /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\n";

} // namespace

TEST_CASE("a request is read whole however its bytes come in") {
    const std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nX-Tag: one\r\n"
                             "Content-Length: 5\r\n\r\nhello";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        request_reader reader;
        std::string input;
        auto last = step::need_more;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            input += text.substr(at, piece);
            last = read_all(reader, input);
        }
        REQUIRE(last == step::complete);
        CHECK(reader.request().method == "POST");
        CHECK(reader.request().target == "/x");
        CHECK(reader.request().body == "hello");
        CHECK(*io::find_header(reader.request().headers, "x-tag") == "one");
        CHECK(reader.content_length() == 5U);
    }
}

TEST_CASE("chunks are put together, and fields after them are not headers") {
    std::string input = "POST /x HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "5;note=1\r\nhello\r\n1\r\n!\r\n0\r\n"
                        "X-Late: yes\r\n\r\nGET";
    request_reader reader;
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.request().body == "hello!");
    CHECK(io::find_header(reader.request().headers, "X-Late") == nullptr);
    CHECK(!reader.content_length());
    CHECK(input == "GET");
}

TEST_CASE("a request in absolute form names its host there") {
    std::string input = "GET http://other.example/p?q HTTP/1.1\r\n"
                        "Host: h.example\r\n\r\n";
    request_reader reader;
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.request().target == "/p?q");
    CHECK(*io::find_header(reader.request().headers, "Host") ==
          "other.example");
}

TEST_CASE("what two readers could take for different requests is refused") {
    // Somebody hides a second request in the first: a length and chunks, two
    // lengths, a line that only some readers take for the end of the head.
    // Passed on, the backend server would run a booking that no caller asked
    // for.
    const std::vector<std::string> smuggled = {
        get + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        get + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
        get + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
        get + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n",
        get + "Content-Length: 4, 4\r\n\r\n",
        get + "Content-Length: -1\r\n\r\n",
        get + "Content-Length: +4\r\n\r\n",
        get + "Content-Length: 0x4\r\n\r\n",
        get + "Content-Length: 4 4\r\n\r\n",
        get + "Content-Length:\r\n\r\n",
        get + "X-A: 1\nContent-Length: 4\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        get + "X-A: 1\r\n Content-Length: 4\r\n\r\n",
        get + "X-A: 1\r\n\tmore\r\n\r\n",
        get + "Content-Length : 4\r\n\r\n",
        get + "X-A: 1\rContent-Length: 4\r\n\r\n",
        get + std::string("X-A: a\0b\r\n\r\n", 12),
        get + "Host: other\r\n\r\n",
        "GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
        "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
        " GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET relative HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    for (const auto& input : smuggled) {
        INFO(input);
        CHECK(refusal_of(input) == 400);
    }
    CHECK(refusal_of(get + "Transfer-Encoding: gzip, chunked\r\n\r\n") == 501);
    CHECK(refusal_of(get + "Transfer-Encoding: chunked\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(refusal_of(get + "Transfer-Encoding: xchunked\r\n\r\n") == 501);
}

TEST_CASE("chunks that are not well formed are refused") {
    const auto chunked = "POST / HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto* body : {"x\r\n", "-1\r\n", "5\r\nhelloX\r\n0\r\n\r\n",
                             "fffffffffffffffff\r\n", " 5\r\nhello\r\n"}) {
        INFO(body);
        CHECK(refusal_of(std::string(chunked) + body) == 400);
    }
}

TEST_CASE("heads and bodies beyond the limits are refused at once") {
    caller_limits limits;
    limits.head = 100;
    limits.body = 10;
    request_reader long_head;
    std::string input = get + "X-A: " + std::string(100, 'a');
    REQUIRE(read_all(long_head, input, limits) == step::faulty);
    CHECK(long_head.fault().status == 431);
    request_reader long_body;
    input = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
    REQUIRE(read_all(long_body, input, limits) == step::faulty);
    CHECK(long_body.fault().status == 413);
    request_reader long_chunks;
    input = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "6\r\nabcdef\r\n6\r\nabcdef\r\n";
    REQUIRE(read_all(long_chunks, input, limits) == step::faulty);
    CHECK(long_chunks.fault().status == 413);
}

TEST_CASE("requests that are sent ahead are read one at a time") {
    std::string input =
        get + "\r\n" + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    request_reader reader;
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.request().target == "/a/b?c=%20");
    CHECK(reader.read(input, {}) == step::need_more);
    reader.next();
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.request().target == "/second");
    CHECK(input.empty());
}
