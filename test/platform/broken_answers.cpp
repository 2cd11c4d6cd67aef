#include "platform/broken_answers.hpp"

#include <catch2/catch.hpp>

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

const std::string sound = "sound";
const std::string length_5 = "Content-Length: 5\r\n";
const std::string sound_rest = signed_head + length_5 + "\r\n" + sound;

sound_answer sound_of(std::string name, std::string bytes,
                      std::string body = sound) {
    return {std::move(name), {std::move(bytes)}, 200, std::move(body)};
}

// Its connection is closed behind it.
sound_answer closed_behind(sound_answer made) {
    made.answer.ending = answer_ending::close;
    return made;
}

std::vector<sound_answer> odd_statuses() {
    std::vector<sound_answer> made;
    for (const unsigned status : {200U, 203U, 299U, 399U, 404U, 499U, 599U}) {
        const auto code = std::to_string(status);
        made.push_back(sound_of("status-" + code, "HTTP/1.1 "));
        made.back().answer.bytes += code;
        made.back().answer.bytes += " Odd\r\n" + sound_rest;
        made.back().status = status;
    }
    made.push_back(
        sound_of("no-content",
                 "HTTP/1.1 204 No Content\r\n" + signed_head + "\r\n", ""));
    made.back().status = 204;
    return made;
}

std::vector<sound_answer> odd_heads() {
    return {
        sound_of("no-reason", "HTTP/1.1 200 \r\n" + sound_rest),
        sound_of("other-reason",
                 "HTTP/1.1 200 \xc3\xa9 \t 000\r\n" + sound_rest),
        sound_of("interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 \r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                            "HTTP/1.1 199 Odd\r\n\r\n" +
                                ok + length_5 + "\r\n" + sound),
        sound_of("odd-values",
                 ok +
                     "X-Empty:\r\nX-Wide: \t a \t b \t\r\n"
                     "X-Text: \xc3\xa9\xff\r\nx!#$%&'*+-.^_`|~: 1\r\n" +
                     length_5 + "\r\n" + sound),
        closed_behind(
            sound_of("http-1-0", "HTTP/1.0 200 OK\r\n" + sound_rest))};
}

std::vector<sound_answer> odd_framings() {
    const auto text = long_body();
    return {
        closed_behind(sound_of("no-length", ok + "\r\n" + sound)),
        closed_behind(sound_of("no-length-close",
                               ok + "Connection: close\r\n\r\n" + sound)),
        closed_behind(sound_of("no-length-empty", ok + "\r\n", "")),
        closed_behind(sound_of("no-length-long", ok + "\r\n" + text, text)),
        closed_behind(
            sound_of("no-length-1-0",
                     "HTTP/1.0 200 OK\r\n" + signed_head + "\r\n" + sound)),
        sound_of("chunks", ok + "transfer-encoding: Chunked\r\n\r\n"
                                "2;a=\"b c\";d\r\nso\r\n003\r\nund\r\n"
                                "000;e\r\nX-Trailer: 1\r\n\r\n"),
        sound_of("chunks-long",
                 ok + chunked + "\r\n300000\r\n" + text + "\r\n" + last_chunk,
                 text)};
}

std::vector<named_answer> unproven_refusals_of(const std::string& status) {
    // Longer than is waited for of what may be no answer.
    const std::string body(100 * 1024, 'x');
    const auto length = [](std::size_t bytes) {
        return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
    };
    const auto head =
        "HTTP/1.1 " + status + " Odd\r\n" + signed_head + "X-Odd: 1\r\n";
    const auto usual = head + length(spoilt.size()) + spoilt;
    const auto part = head + length(body.size()) + spoilt;
    std::vector<named_answer> made;
    const auto add = [&](const std::string& name, std::string bytes,
                         answer_ending ending = answer_ending::keep) {
        made.push_back({status + "-" + name, {std::move(bytes), ending}});
    };
    const auto without = [&](const std::string& line) {
        auto bytes = usual;
        return bytes.erase(bytes.find(line), line.size());
    };
    add("short", usual);
    add("rest", head + "Retry-After: 1\r\n" + length(spoilt.size()) + spoilt);
    add("empty", head + length(0));
    add("chunks", head + chunked + "\r\n" + spoilt_chunk + last_chunk);
    add("until-close", head + "\r\n" + spoilt, answer_ending::close);
    add("behind-hints", "HTTP/1.1 103 Early Hints\r\n\r\n" + usual);
    add("middling", head + length(body.size()) + body);
    add("long", head + length(long_body_size) + long_body());
    add("cut", part, answer_ending::close);
    add("reset", part, answer_ending::reset);
    add("twice", usual + usual);
    add("no-id", without("Waxwingvale-Attempt-Id: {id}\r\n"));
    if (status != "421") {
        add("unsigned", without(signature));
    }
    add("early", usual);
    made.back().answer.at_head = true;
    return made;
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
    std::vector<sound_answer> all;
    for (const auto& part : {odd_statuses(), odd_heads(), odd_framings()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

void check_own_answer(const raw_call& call) {
    const auto got = call.answer();
    CHECK(answers_begun(call.bytes()) == 1);
    CHECK(got.complete);
    CHECK_FALSE(got.has_header("Waxwingvale-Response-Signature"));
    CHECK_FALSE(got.has_header("X-Odd"));
    CHECK(got.body.find(spoilt) == std::string::npos);
}

std::string name_in(const std::string& target) {
    const auto at = target.find('/', 1);
    return at == target.npos ? std::string() : target.substr(at + 1);
}

std::vector<named_answer> unproven_refusals() {
    std::vector<named_answer> made;
    for (const auto* status : {"408", "421", "429", "503"}) {
        for (auto& each : unproven_refusals_of(status)) {
            made.push_back(std::move(each));
        }
    }
    return made;
}

std::vector<named_answer> proven_refusals() {
    const auto refusal = [](const std::string& status) {
        return named_answer{
            status,
            {"HTTP/1.1 " + status +
                 " Odd\r\nWaxwingvale-Attempt-Id: {id}\r\nX-Odd: 1\r\n"
                 "Waxwingvale-Not-Executed: 1\r\n" +
                 length_6 + "\r\n" + spoilt,
             answer_ending::keep}};
    };
    return {refusal("421"), refusal("429"), refusal("503")};
}

} // namespace waxwingvale::platform
