#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "forwarding/answer_reader.hpp"

using namespace waxwingvale;
using forwarding::answer_reader;
using step = answer_reader::step;

namespace {

step read_all(answer_reader& reader, std::string& input) {
    auto last = reader.read(input);
    while (last == step::head || last == step::body) {
        last = reader.read(input);
    }
    return last;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("an answer is read whole however its bytes come in") {
    const std::string text =
        ok + "X-Tag: one\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        answer_reader reader;
        reader.expect("GET");
        std::string input;
        auto last = step::need_more;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            input += text.substr(at, piece);
            last = read_all(reader, input);
        }
        REQUIRE(last == step::complete);
        CHECK(reader.answer().status == 200);
        CHECK(reader.answer().body == "hello");
        CHECK(*io::find_header(reader.answer().headers, "x-tag") == "one");
        CHECK(reader.keep_alive());
    }
}

TEST_CASE("interim answers are passed over") {
    std::string input = "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" +
                        ok + "Content-Length: 0\r\n\r\n";
    answer_reader reader;
    reader.expect("POST");
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.answer().status == 200);
    CHECK(io::find_header(reader.answer().headers, "X-A") == nullptr);
}

// Guards against input that grows until the memory is gone: lines between
// chunks, and trailers, have no limit of the library's.
TEST_CASE("lines without end around chunks are refused") {
    const std::string begin = GENERATE("4;x=", "4\r\nbody\r\n0\r\nX-A: ");
    std::string input = ok + "Transfer-Encoding: chunked\r\n\r\n" + begin;
    answer_reader reader;
    reader.expect("GET");
    std::size_t longest = 0;
    auto last = read_all(reader, input);
    for (int piece = 0; piece < 100 && last == step::need_more; ++piece) {
        input += std::string(4096, 'x');
        last = read_all(reader, input);
        longest = std::max(longest, input.size());
    }
    CHECK(last == step::faulty);
    CHECK(longest < 80 * 1024);
}

TEST_CASE("an answer to HEAD has no body whatever its length says") {
    std::string input = ok + "Content-Length: 500\r\n\r\n";
    answer_reader reader;
    reader.expect("HEAD");
    CHECK(read_all(reader, input) == step::complete);
}

TEST_CASE("an answer without a length ends with its connection") {
    std::string input = ok + "\r\nsome bytes";
    answer_reader reader;
    reader.expect("GET");
    REQUIRE(read_all(reader, input) == step::need_more);
    REQUIRE(reader.read_end() == step::complete);
    CHECK(reader.answer().body == "some bytes");
    CHECK(!reader.keep_alive());
}

TEST_CASE("an answer that is cut short is not taken for a whole one") {
    for (const auto& text :
         {std::string(), ok, ok + "Content-Length: 5\r\n\r\nhell",
          ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
        INFO(text);
        answer_reader reader;
        reader.expect("GET");
        std::string input = text;
        REQUIRE(read_all(reader, input) == step::need_more);
        CHECK(reader.read_end() == step::faulty);
    }
}

TEST_CASE("bytes that are no answer are faulty") {
    for (const std::string text :
         {"garbage that is no answer\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n",
          "\x01\x02\x03\x04\r\n\r\n", "ICY 200 OK\r\n\r\n"}) {
        INFO(text);
        answer_reader reader;
        reader.expect("GET");
        std::string input = text;
        CHECK(read_all(reader, input) == step::faulty);
    }
}

// Guards against numbers that callers would be given for a status.
TEST_CASE("a status that is none of a final answer is faulty") {
    const std::string status =
        GENERATE("000", "001", "099", "600", "999", "101");
    const std::string ahead =
        GENERATE("", "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n");
    CAPTURE(status, ahead);
    std::string input =
        ahead + "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
    answer_reader reader;
    reader.expect("GET");
    CHECK(read_all(reader, input) == step::faulty);
}

TEST_CASE("any status of 200 to 599 is one of an answer") {
    const std::string status =
        GENERATE("200", "299", "300", "399", "418", "499", "500", "599");
    std::string input =
        "HTTP/1.1 " + status + " \r\nContent-Length: 2\r\n" + "\r\nok";
    answer_reader reader;
    reader.expect("GET");
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(std::to_string(reader.answer().status) == status);
    CHECK(reader.answer().body == "ok");
}

// Guards against bytes in a coding that nobody has undone, taken for a body.
TEST_CASE("a transfer coding other than chunked alone is faulty") {
    const std::string lines = GENERATE(
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked;a=b\r\n",
        "Transfer-Encoding: chunked chunked\r\n",
        "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\nContent-Length: 11\r\n");
    CAPTURE(lines);
    std::string input = ok + lines + "\r\n1\r\nx\r\n0\r\n\r\n";
    answer_reader reader;
    reader.expect("GET");
    CHECK(read_all(reader, input) == step::faulty);
}

// Guards against a body whose end is found by a rule that its sender did not
// know (RFC 9112, 6.1).
TEST_CASE("chunks in an answer of HTTP/1.0 are faulty") {
    std::string input = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n2\r\nok\r\n0\r\n\r\n";
    answer_reader reader;
    reader.expect("GET");
    CHECK(read_all(reader, input) == step::faulty);
}

TEST_CASE("chunked is known whatever its case and empty parts of its list") {
    const std::string coding = GENERATE("CHUNKED", " \tchunked\t ", ", chunked",
                                        "chunked ,", ",, chunked,,");
    CAPTURE(coding);
    std::string input =
        ok + "Transfer-Encoding:" + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    answer_reader reader;
    reader.expect("GET");
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(reader.answer().body == "ok");
}

// Guards against a line of a head that is taken for a part of the line before
// it, whatever pieces it comes in.
TEST_CASE("a line that begins with a blank is faulty") {
    const std::string head = GENERATE(
        "HTTP/1.1 200 OK\r\n X-A: 1\r\n", "HTTP/1.1 200 OK\r\n\tX-A: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n",
        "HTTP/1.1 200 OK\r\nX-A:\r\n\t2\r\n",
        "HTTP/1.1 200 OK\r\nX-A: 1\r\n \r\n",
        "HTTP/1.1 100 Continue\r\nX-A: 1\r\n X-B: 2\r\n\r\n"
        "HTTP/1.1 200 OK\r\n");
    const std::size_t piece = GENERATE(1U, 1000U);
    CAPTURE(head, piece);
    const std::string text = head + "Content-Length: 2\r\n\r\nok";
    answer_reader reader;
    reader.expect("GET");
    std::string input;
    auto last = step::need_more;
    for (std::size_t at = 0; at < text.size() && last == step::need_more;
         at += piece) {
        input += text.substr(at, piece);
        last = read_all(reader, input);
    }
    CHECK(last == step::faulty);
}

// Guards against the same around chunks, where nothing of it is passed on but
// the body would be.
TEST_CASE("malformed lines around chunks are faulty") {
    const std::string rest = GENERATE(
        "2\r\nok\r\n0\r\nX-A: 1\r\n X-B: 2\r\n\r\n",
        "2\r\nok\r\n0\r\n X-B: 2\r\n\r\n", "2\r\nok\r\n0\r\nX A: 1\r\n\r\n",
        "2;a=\"\x01\"\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0;a=\"\x01\"\r\n\r\n",
        "2 \r\nok\r\n0\r\n\r\n", "2\r\nokk\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n");
    CAPTURE(rest);
    std::string input = ok + "Transfer-Encoding: chunked\r\n\r\n" + rest;
    answer_reader reader;
    reader.expect("GET");
    CHECK(read_all(reader, input) == step::faulty);
}

TEST_CASE("bytes after a whole answer are left over") {
    std::string input = ok + "Content-Length: 2\r\n\r\nok" + ok;
    answer_reader reader;
    reader.expect("GET");
    REQUIRE(read_all(reader, input) == step::complete);
    CHECK(input == ok);
}
