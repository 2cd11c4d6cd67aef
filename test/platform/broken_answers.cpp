#include "platform/broken_answers.hpp"

namespace waxwingvale::platform {

namespace {

const std::string signature = "Waxwingvale-Response-Signature: s\r\n";
const std::string signed_head = signature + "Waxwingvale-Attempt-Id: {id}\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n" + signed_head;
const std::string length_6 = "Content-Length: 6\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
// The body of each of them.
const std::string spoilt = "spoilt";
const std::string spoilt_chunk = "6\r\nspoilt\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string with_status_line(const std::string& line) {
    return line + "\r\n" + signed_head + length_6 + "\r\n" + spoilt;
}

std::string with_status(const std::string& code) {
    return with_status_line("HTTP/1.1 " + code + " Odd");
}

// Whole but for one line of its head.
std::string with_line(const std::string& line) {
    return ok + line + "\r\n" + length_6 + "\r\n" + spoilt;
}

std::string with_coding(const std::string& lines) {
    return ok + lines + "\r\n" + spoilt_chunk + last_chunk;
}

std::string long_body() {
    return std::string(long_body_size, 'x');
}

std::string long_with_line(const std::string& line) {
    return ok + line + "\r\nContent-Length: " + std::to_string(long_body_size) +
           "\r\n\r\n" + long_body();
}

named_answer closing(std::string name, std::string bytes) {
    return {std::move(name), {std::move(bytes), answer_ending::close}};
}

std::vector<named_answer> broken_status_lines() {
    std::vector<named_answer> made;
    for (const std::string code :
         {"000", "001", "099", "600", "999", "101", "2000", "20", "0x2"}) {
        made.push_back(closing("status-" + code, with_status(code)));
    }
    const std::string begin = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n";
    made.push_back(closing("status-behind-hints", begin + with_status("000")));
    made.push_back(closing("status-of-hints",
                           "HTTP/1.1 099 Odd\r\n\r\n" + with_status("200")));
    made.push_back(closing(
        "status-long", "HTTP/1.1 000 Odd\r\n" + signed_head +
                           "Content-Length: " + std::to_string(long_body_size) +
                           "\r\n\r\n" + long_body()));
    made.push_back(
        closing("status-no-length",
                "HTTP/1.1 000 Odd\r\n" + signed_head + "\r\n" + spoilt));
    made.push_back(closing("status-chunks", "HTTP/1.1 999 Odd\r\n" +
                                                signed_head + chunked + "\r\n" +
                                                spoilt_chunk + last_chunk));
    for (const std::string line :
         {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK",
          "HTTP/1.1  200 OK", "ICY 200 OK", "HTTP/1.1 200 O\x01K"}) {
        made.push_back(closing("first-line-" + std::to_string(made.size()),
                               with_status_line(line)));
    }
    return made;
}

std::vector<named_answer> broken_codings() {
    std::vector<named_answer> made;
    for (const std::string coding :
         {"xchunked", "chunked, gzip", "chunked, chunked", "gzip, chunked",
          "gzip", "identity", "chunked;a=1", "chunked chunked"}) {
        made.push_back(
            closing("coding-" + std::to_string(made.size()),
                    with_coding("Transfer-Encoding: " + coding + "\r\n")));
    }
    made.push_back(closing("coding-two-lines", with_coding(chunked + chunked)));
    made.push_back(
        closing("coding-hidden",
                with_coding("Transfer-Encoding: xchunked\r\n" + chunked)));
    made.push_back(
        closing("coding-and-length", with_coding(chunked + length_6)));
    made.push_back(closing("coding-http-1-0",
                           "HTTP/1.0 200 OK\r\n" + signed_head + chunked +
                               "\r\n" + spoilt_chunk + last_chunk));
    made.push_back(
        closing("coding-long",
                ok + "Transfer-Encoding: xchunked\r\n\r\n" + long_body()));
    return made;
}

std::vector<named_answer> broken_fields() {
    std::vector<named_answer> made;
    const std::string nul(1, '\0');
    for (const std::string& line :
         {std::string("X Odd: 1"),
          std::string("X-Odd : 1"),
          std::string("X-\x01Odd: 1"),
          std::string("X-\x7fOdd: 1"),
          std::string("X-\xc3\xa9: 1"),
          "X-" + nul + "Odd: 1",
          "X-Odd: 1" + nul,
          std::string("X-Odd: \x02"),
          std::string("X-Odd: a\rb"),
          std::string("X-Odd: a\nX-B: 1"),
          std::string(": 1"),
          std::string("no colon"),
          std::string("Content-Length: 7"),
          std::string("Content-Length: x"),
          std::string("Content-Length: -6"),
          std::string("Content-Length: +6"),
          std::string("Content-Length:"),
          std::string("Content Length: 2"),
          std::string("Content-Length : 2"),
          std::string("Transfer-Encoding : chunked")}) {
        made.push_back(
            closing("field-" + std::to_string(made.size()), with_line(line)));
    }
    return made;
}

std::vector<named_answer> continued_lines() {
    return {closing("line-blank", with_line(" X-Odd: 1")),
            closing("line-tab", with_line("\tX-Odd: 1")),
            closing("line-kept", with_line("X-Kept: 1\r\n X-Odd: 1")),
            closing("line-empty", with_line("X-Kept: 1\r\n ")),
            closing("line-first", "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" +
                                      signed_head + length_6 + "\r\n" + spoilt),
            closing("line-long", long_with_line(" X-Odd: 1")),
            closing("line-hints",
                    "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n X-Odd: 1\r\n\r\n" +
                        with_line("X-B: 1"))};
}

std::vector<named_answer> broken_bodies() {
    std::vector<named_answer> made;
    const auto add = [&](const std::string& name, const std::string& bytes,
                         answer_ending ending = answer_ending::close) {
        made.push_back({name, {bytes, ending}});
    };
    add("chunk-size", ok + chunked + "\r\nno size\r\nspoilt\r\n" + last_chunk);
    add("chunk-sign", ok + chunked + "\r\n-6\r\nspoilt\r\n" + last_chunk);
    add("chunk-blank", ok + chunked + "\r\n6 \r\nspoilt\r\n" + last_chunk);
    add("chunk-huge", ok + chunked + "\r\nfffffffffffffffff\r\nspoilt\r\n");
    add("chunk-longer", ok + chunked + "\r\n5\r\nspoilt\r\n" + last_chunk);
    add("chunk-line-feed", ok + chunked + "\r\n6\nspoilt\n0\n\n");
    add("trailer-name",
        ok + chunked + "\r\n" + spoilt_chunk + "0\r\nX Odd: 1\r\n\r\n");
    add("part-length", ok + "Content-Length: 7\r\n\r\n" + spoilt);
    add("part-chunks", ok + chunked + "\r\n" + spoilt_chunk);
    add("part-chunk", ok + chunked + "\r\n7\r\nspoilt");
    add("part-length-reset", ok + "Content-Length: 7\r\n\r\n" + spoilt,
        answer_ending::reset);
    add("part-no-length-reset", ok + "\r\n" + spoilt, answer_ending::reset);
    add("part-head", ok);
    add("no-bytes", "");
    add("noise", "\x01\x02\x03 noise \r\n\r\n" + spoilt);
    return made;
}

std::vector<named_answer> broken_lines_around_chunks() {
    return {
        closing("chunk-extension",
                ok + chunked + "\r\n6;a=\"\x01\"\r\nspoilt\r\n" + last_chunk),
        closing("trailer-continued", ok + chunked + "\r\n" + spoilt_chunk +
                                         "0\r\nX-A: 1\r\n X-Odd: 1\r\n\r\n")};
}

} // namespace

std::vector<named_answer> broken_answers() {
    std::vector<named_answer> all;
    for (const auto& part :
         {broken_status_lines(), broken_fields(), broken_bodies(),
          broken_codings(), continued_lines(), broken_lines_around_chunks()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

std::vector<named_answer> long_answers_that_break() {
    const std::string chunks =
        ok + chunked + "\r\n300000\r\n" + long_body() + "\r\n";
    const std::string no_length = ok + "\r\n" + long_body();
    const std::string too_long =
        ok + "Content-Length: " + std::to_string(long_body_size + 1) +
        "\r\n\r\n" + long_body();
    return {closing("chunk-size", chunks + "no size\r\n"),
            closing("chunk-extension", chunks + "6;a=\"\x01\"\r\nspoilt\r\n"),
            closing("trailer-name", chunks + "0\r\nX Odd: 1\r\n\r\n"),
            closing("trailer-continued",
                    chunks + "0\r\nX-A: 1\r\n X-Odd: 1\r\n\r\n"),
            closing("part-chunks", chunks),
            closing("part-length", too_long),
            {"part-chunks-reset", {chunks, answer_ending::reset}},
            {"part-length-reset", {too_long, answer_ending::reset}},
            {"part-no-length-reset", {no_length, answer_ending::reset}}};
}

std::vector<sound_answer> odd_sound_answers() {
    const std::string body = "sound";
    const std::string length_5 = "Content-Length: 5\r\n";
    const std::string rest = signed_head + length_5 + "\r\n" + body;
    const auto closed = answer_ending::close;
    const std::string long_text = long_body();
    std::vector<sound_answer> all;
    for (const unsigned status : {200U, 203U, 299U, 399U, 404U, 499U, 599U}) {
        const auto code = std::to_string(status);
        all.push_back({"status-" + code,
                       {"HTTP/1.1 " + code + " Odd\r\n" + rest},
                       status,
                       body});
    }
    all.push_back({"no-reason", {"HTTP/1.1 200 \r\n" + rest}, 200, body});
    all.push_back({"other-reason",
                   {"HTTP/1.1 200 \xc3\xa9 \t 000\r\n" + rest},
                   200,
                   body});
    all.push_back({"interim",
                   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 \r\n\r\n"
                    "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                    "HTTP/1.1 199 Odd\r\n\r\n" +
                    ok + length_5 + "\r\n" + body},
                   200,
                   body});
    all.push_back({"no-length", {ok + "\r\n" + body, closed}, 200, body});
    all.push_back({"no-length-close",
                   {ok + "Connection: close\r\n\r\n" + body, closed},
                   200,
                   body});
    all.push_back({"no-length-empty", {ok + "\r\n", closed}, 200, ""});
    all.push_back(
        {"no-length-long", {ok + "\r\n" + long_text, closed}, 200, long_text});
    all.push_back(
        {"http-1-0", {"HTTP/1.0 200 OK\r\n" + rest, closed}, 200, body});
    all.push_back(
        {"http-1-0-no-length",
         {"HTTP/1.0 200 OK\r\n" + signed_head + "\r\n" + body, closed},
         200,
         body});
    all.push_back({"no-content",
                   {"HTTP/1.1 204 No Content\r\n" + signed_head + "\r\n"},
                   204,
                   ""});
    all.push_back({"odd-values",
                   {ok +
                    "X-Empty:\r\nX-Wide: \t a \t b \t\r\n"
                    "X-Text: \xc3\xa9\xff\r\nx!#$%&'*+-.^_`|~: 1\r\n" +
                    length_5 + "\r\n" + body},
                   200,
                   body});
    all.push_back({"chunks",
                   {ok + "transfer-encoding: Chunked\r\n\r\n"
                         "2;a=\"b c\";d\r\nso\r\n003\r\nund\r\n"
                         "000;e\r\nX-Trailer: 1\r\n\r\n"},
                   200,
                   body});
    all.push_back(
        {"chunks-long",
         {ok + chunked + "\r\n300000\r\n" + long_text + "\r\n" + last_chunk},
         200,
         long_text});
    return all;
}

} // namespace waxwingvale::platform
