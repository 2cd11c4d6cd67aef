#include "forwarding/answer_reader.hpp"

#include <optional>

#include "io/answer_parser.hpp"
#include "io/head_check.hpp"

namespace waxwingvale::forwarding {

namespace {

namespace http = boost::beast::http;
using parse_result = boost::beast::error_code;

// Bytes of status line and headers: more than any real server sends.
constexpr std::uint32_t head_limit = 64 * 1024;
// Bytes that may wait for the end of a line between chunks, or for that of the
// trailers; the library sets no limit there.
constexpr std::size_t line_limit = 64 * 1024;

} // namespace

struct answer_reader::state {
    std::optional<io::answer_parser> parser;
    std::string fault;
    // The lines of a head that is not complete, then those behind the last
    // chunk: the library joins lines that are continued, so that only the
    // bytes tell of them.
    std::string field_lines;
    bool without_body = false; // it answers a HEAD
    bool head_told = false;
    bool complete_told = false;

    void begin() {
        parser.emplace();
        parser->header_limit(head_limit);
        parser->skip(without_body);
        parser->eager(false);
        field_lines.clear();
        head_told = false;
        complete_told = false;
    }

    step refuse(std::string detail) {
        fault = std::move(detail);
        return step::faulty;
    }

    // Gives the parser what it takes of the input.
    parse_result use(std::string& input) {
        const bool in_head = !parser->is_header_done();
        parse_result why;
        const auto used =
            parser->put(boost::asio::buffer(input.data(), input.size()), why);
        const char* used_end = input.data() + used;
        if (in_head) {
            field_lines.append(input, 0, used);
        } else if (parser->trailer() != nullptr && parser->is_done()) {
            field_lines.assign(parser->trailer(), used_end);
        }
        input.erase(0, used);
        return why;
    }

    step read_some(std::string& input) {
        parser->body_grew = false;
        parser->eager(head_told);
        const auto why = use(input);
        if (why && why != http::error::need_more) {
            return refuse(why.message());
        }
        if (parser->is_header_done() && io::has_continued_line(field_lines)) {
            return refuse("a header is continued on the next line");
        }
        if (head_told && !parser->is_done() && input.size() > line_limit) {
            return refuse("a line between chunks has no end");
        }
        return step::need_more;
    }

    step after_reading() {
        if (!head_told && parser->is_header_done()) {
            head_told = true;
            std::string().swap(field_lines);
            return step::head;
        }
        if (head_told && parser->is_done()) {
            complete_told = true;
            return step::complete;
        }
        return parser->body_grew ? step::body : step::need_more;
    }

    bool is_interim() const {
        return parser->is_done() && parser->is_interim();
    }
};

answer_reader::answer_reader() : state_(std::make_unique<state>()) {}
answer_reader::~answer_reader() = default;

void answer_reader::expect(const std::string& method) {
    state_->without_body = method == "HEAD";
    state_->begin();
}

answer_reader::step answer_reader::read(std::string& input) {
    if (state_->complete_told) {
        return step::need_more;
    }
    while (true) {
        const bool may_finish = state_->head_told && state_->parser->is_done();
        if (!may_finish) {
            if (input.empty()) {
                return step::need_more;
            }
            if (state_->read_some(input) == step::faulty) {
                return step::faulty;
            }
        }
        if (!state_->head_told && state_->is_interim()) {
            state_->begin();
            continue;
        }
        return state_->after_reading();
    }
}

answer_reader::step answer_reader::read_end() {
    if (!state_->head_told || state_->complete_told) {
        return state_->refuse("the connection ended before the answer");
    }
    parse_result why;
    state_->parser->put_eof(why);
    if (why) {
        return state_->refuse("the answer was cut short");
    }
    state_->complete_told = true;
    return step::complete;
}

io::http_response& answer_reader::answer() {
    return state_->parser->message;
}

const io::http_response& answer_reader::answer() const {
    return state_->parser->message;
}

std::optional<std::uint64_t> answer_reader::body_length() const {
    const auto named = state_->parser->content_length();
    return named ? std::optional<std::uint64_t>(*named) : std::nullopt;
}

const std::string& answer_reader::fault() const {
    return state_->fault;
}

bool answer_reader::keep_alive() const {
    return state_->parser->keep_alive();
}

} // namespace waxwingvale::forwarding
