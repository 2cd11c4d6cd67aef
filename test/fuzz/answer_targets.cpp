#include "answer_targets.hpp"

#include <algorithm>
#include <cctype>
#include <strings.h>

#include "forwarding/answer_reader.hpp"
#include "fuzz_target.hpp"
#include "io/answer_parser.hpp"
#include "strict_answer.hpp"

using namespace waxwingvale;
using step = forwarding::answer_reader::step;

namespace {

// What a reader made of bytes that end with a close in order.
struct read_answer {
    bool complete = false;
    io::http_response answer;
};

read_answer read_in_pieces(const std::string& input, std::size_t piece) {
    forwarding::answer_reader reader;
    reader.expect("GET");
    read_answer read;
    std::string pending;
    auto last = step::need_more;
    for (std::size_t at = 0; at < input.size() && last == step::need_more;
         at += piece) {
        pending += input.substr(at, piece);
        do {
            last = reader.read(pending);
        } while (last == step::head || last == step::body);
    }
    if (last == step::need_more) {
        last = reader.read_end();
    }
    read.complete = last == step::complete;
    if (read.complete) {
        read.answer = reader.answer();
    }
    return read;
}

bool is_token(const std::string& name) {
    const std::string others = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
        const auto code = static_cast<unsigned char>(c);
        return code < 0x80 &&
               (std::isalnum(code) != 0 || others.find(c) != others.npos);
    });
}

bool is_field_value(const std::string& value) {
    return std::all_of(value.begin(), value.end(), [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return (code >= 0x20 && code != 0x7f) || c == '\t';
    });
}

void must_be_an_answer(const io::http_response& answer) {
    must_hold(answer.status >= 200 && answer.status < 600,
              "a final status is one of 200 to 599");
    std::size_t codings = 0;
    for (const auto& header : answer.headers) {
        must_hold(is_token(header.name), "a field's name is a token");
        must_hold(is_field_value(header.value), "a value has no control byte");
        codings +=
            strcasecmp(header.name.c_str(), "Transfer-Encoding") == 0 ? 1 : 0;
    }
    // Empty elements of its list count for nothing.
    if (const auto* coding =
            io::find_header(answer.headers, "Transfer-Encoding")) {
        auto text = *coding;
        text.erase(std::remove_if(text.begin(), text.end(),
                                  [](char c) {
                                      return c == ',' || c == ' ' || c == '\t';
                                  }),
                   text.end());
        must_hold(codings > 1 || strcasecmp(text.c_str(), "chunked") == 0,
                  "no coding but chunked");
    }
}

// None of the lines up to the empty one of the final head, nor behind the last
// chunk, may be continued; in a body anything may stand.
bool head_is_continued(const std::string& input) {
    std::size_t begin = 0;
    while (true) {
        const auto end = input.find("\r\n\r\n", begin);
        const auto head = input.substr(begin, end - begin);
        if (head.find("\n ") != head.npos || head.find("\n\t") != head.npos) {
            return true;
        }
        const bool interim = head.compare(0, 10, "HTTP/1.1 1") == 0 ||
                             head.compare(0, 10, "HTTP/1.0 1") == 0;
        if (end == input.npos || !interim) {
            return false;
        }
        begin = end + 4;
    }
}

} // namespace

void run_answer(const std::string& input) {
    const auto whole =
        read_in_pieces(input, std::max<std::size_t>(input.size(), 1));
    const auto by_bytes = read_in_pieces(input, 1);
    must_hold(whole.complete == by_bytes.complete,
              "pieces make no difference to what is an answer");
    if (!whole.complete) {
        return;
    }
    must_hold(whole.answer.status == by_bytes.answer.status &&
                  whole.answer.headers == by_bytes.answer.headers &&
                  whole.answer.body == by_bytes.answer.body,
              "nor to the answer");
    must_be_an_answer(whole.answer);
    const strict_answer wanted(input);
    must_hold(wanted.whole(), "nothing else is taken for an answer");
    must_hold(wanted.status() == whole.answer.status &&
                  wanted.body() == whole.answer.body,
              "status and body are those of the answer");
}

std::vector<std::string> answer_seeds() {
    const std::string ok = "HTTP/1.1 200 OK\r\nX-A: 1\r\n";
    return {ok + "Content-Length: 5\r\n\r\nhello",
            ok + "\r\nhello",
            "HTTP/1.0 299 \r\n\r\nhello",
            "HTTP/1.1 103 Early Hints\r\nX-B: 2\r\n\r\n" + ok +
                "Content-Length: 0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n"
                 "3;a=\"b\"\r\nhel\r\n2\r\nlo\r\n0\r\nX-C: 3\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"};
}

void run_answer_head(const std::string& input) {
    const auto read = io::parse_answer_head(input);
    if (!read) {
        must_hold(read.error().code == error_code::malformed,
                  "a head that is none is malformed");
        return;
    }
    if (read.value().status >= 200) {
        must_be_an_answer(read.value());
    }
    must_hold(!head_is_continued(input), "no line is continued");
}

std::vector<std::string> answer_head_seeds() {
    return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 410 Gone\r\nX-Era: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n"};
}
