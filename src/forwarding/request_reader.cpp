#include "forwarding/request_reader.hpp"

#include <algorithm>
#include <strings.h>
#include <utility>

#include "io/head_check.hpp"
#include "io/message_parser.hpp"

namespace waxwingvale::forwarding {

namespace {

namespace http = boost::beast::http;
using parse_result = boost::beast::error_code;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_head_too_large = 431;
constexpr unsigned status_not_implemented = 501;
constexpr unsigned status_version_not_supported = 505;
constexpr int version_1_1 = 11;
constexpr int version_1_0 = 10;
constexpr const char* head_end = "\r\n\r\n";
constexpr std::size_t head_end_size = 4;
// An empty line before a request is allowed (RFC 9112, 2.2); more than a few
// are not sent by anybody.
constexpr std::size_t empty_lines_limit = 4;

bool same(const std::string& a, const char* b) {
    return strcasecmp(a.c_str(), b) == 0;
}

std::size_t count_headers(const io::http_headers& headers, const char* name) {
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const auto& each) { return same(each.name, name); }));
}

} // namespace

class request_parser : public io::message_parser<true, io::http_request> {
public:
    unsigned version = 0;

private:
    void on_request_impl(boost::beast::http::verb, string_view method,
                         string_view target, int with, parse_result&) override {
        message.method = text(method);
        message.target = text(target);
        version = static_cast<unsigned>(with);
    }
};

struct request_reader::state {
    std::optional<request_parser> parser;
    request_fault fault;
    bool head_told = false;
    std::size_t head_memory = 0; // of the message, but for its body
    bool complete_told = false;

    step refuse(unsigned status, std::string detail) {
        fault = {status, std::move(detail)};
        return step::faulty;
    }

    step read_head(std::string& input, const caller_limits& limits);
    step read_body(std::string& input);
    step check_head();
    step explain(const parse_result& why);
    bool make_origin_form();
};

request_reader::request_reader() : state_(std::make_unique<state>()) {}
request_reader::~request_reader() = default;

void request_reader::next() {
    state_ = std::make_unique<state>();
}

request_reader::step request_reader::state::explain(const parse_result& why) {
    if (why == http::error::body_limit) {
        return refuse(status_body_too_large, "the body is too large");
    }
    if (why == http::error::header_limit) {
        return refuse(status_head_too_large, "the headers are too large");
    }
    return refuse(status_bad_request, why.message());
}

// "GET http://host/path" is turned into "GET /path" for that host, as every
// server must accept it (RFC 9112, 3.2.2).
bool request_reader::state::make_origin_form() {
    auto& request = parser->message;
    if (request.target.front() == '/') {
        return true;
    }
    if (request.target == "*") {
        return request.method == "OPTIONS";
    }
    const std::string scheme = "http://";
    if (strncasecmp(request.target.c_str(), scheme.c_str(), scheme.size()) !=
        0) {
        return false;
    }
    const auto host_end =
        std::min(request.target.find_first_of("/?", scheme.size()),
                 request.target.size());
    const auto host =
        request.target.substr(scheme.size(), host_end - scheme.size());
    request.target.erase(0, host_end);
    if (request.target.empty() || request.target.front() == '?') {
        request.target.insert(0, "/");
    }
    for (auto& header : request.headers) {
        if (same(header.name, "Host")) {
            header.value = host;
        }
    }
    return true;
}

request_reader::step request_reader::state::check_head() {
    const auto& headers = parser->message.headers;
    if (parser->version != version_1_1 && parser->version != version_1_0) {
        return refuse(status_version_not_supported, "expected HTTP/1.1");
    }
    const auto hosts = count_headers(headers, "Host");
    if (hosts > 1 || (hosts == 0 && parser->version == version_1_1)) {
        return refuse(status_bad_request, "expected one Host header");
    }
    // Two lengths, even equal ones, and codings that we would pass on
    // undecoded are read differently by different servers.
    if (count_headers(headers, "Content-Length") > 1) {
        return refuse(status_bad_request, "expected one Content-Length");
    }
    if (const auto* length = io::find_header(headers, "Content-Length")) {
        if (length->find(',') != length->npos) {
            return refuse(status_bad_request, "expected one Content-Length");
        }
    }
    if (const auto* coding = io::find_header(headers, "Transfer-Encoding")) {
        if (!same(*coding, "chunked")) {
            return refuse(status_not_implemented,
                          "expected no Transfer-Encoding but chunked");
        }
        if (parser->version == version_1_0) {
            return refuse(status_bad_request, "chunks in HTTP/1.0");
        }
    }
    if (!make_origin_form()) {
        return refuse(status_bad_request, "expected a path");
    }
    head_told = true;
    head_memory = io::memory_of(parser->message);
    return step::head;
}

request_reader::step
request_reader::state::read_head(std::string& input,
                                 const caller_limits& limits) {
    for (std::size_t i = 0;
         i < empty_lines_limit && input.compare(0, 2, "\r\n") == 0; ++i) {
        input.erase(0, 2);
    }
    const auto end = input.find(head_end);
    const auto head_size =
        end == input.npos ? input.size() : end + head_end_size;
    if (head_size > limits.head) {
        return refuse(status_head_too_large, "the headers are too large");
    }
    if (end == input.npos) {
        return io::has_bare_line_feed(input)
                   ? refuse(status_bad_request,
                            "a line ends without a carriage return")
                   : step::need_more;
    }
    if (const char* wrong =
            io::head_fault(std::string_view(input).substr(0, head_size))) {
        return refuse(status_bad_request, wrong);
    }
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(limits.head));
    parser->body_limit(limits.body);
    parser->eager(false);
    parse_result why;
    const auto used =
        parser->put(boost::asio::buffer(input.data(), head_size), why);
    input.erase(0, used);
    if (why) {
        return explain(why);
    }
    return check_head();
}

request_reader::step request_reader::state::read_body(std::string& input) {
    parser->eager(true);
    parser->body_grew = false;
    parse_result why;
    const auto used =
        parser->put(boost::asio::buffer(input.data(), input.size()), why);
    input.erase(0, used);
    if (why && why != http::error::need_more) {
        return explain(why);
    }
    if (parser->is_done()) {
        complete_told = true;
        return step::complete;
    }
    return parser->body_grew ? step::body : step::need_more;
}

request_reader::step request_reader::read(std::string& input,
                                          const caller_limits& limits) {
    if (!state_->head_told) {
        return state_->read_head(input, limits);
    }
    if (state_->complete_told) {
        return step::need_more;
    }
    if (state_->parser->is_done()) {
        state_->complete_told = true;
        return step::complete;
    }
    return input.empty() ? step::need_more : state_->read_body(input);
}

bool request_reader::reading(const std::string& input) const {
    return !input.empty() || (state_->head_told && !state_->complete_told);
}

io::http_request& request_reader::request() {
    return state_->parser->message;
}

std::size_t request_reader::held() const {
    if (!state_->parser) {
        return 0;
    }
    const auto& message = state_->parser->message;
    const bool taken = message.headers.empty();
    return message.body.capacity() + (taken ? 0 : state_->head_memory);
}

const request_fault& request_reader::fault() const {
    return state_->fault;
}

bool request_reader::keep_alive() const {
    return state_->parser && state_->parser->keep_alive();
}

bool request_reader::is_http_1_0() const {
    return state_->parser->version == version_1_0;
}

bool request_reader::expects_continue() const {
    const auto* expected =
        io::find_header(state_->parser->message.headers, "Expect");
    return expected != nullptr && same(*expected, "100-continue");
}

std::optional<std::uint64_t> request_reader::content_length() const {
    const auto& parser = *state_->parser;
    if (parser.chunked()) {
        return std::nullopt;
    }
    const auto named = parser.content_length();
    return named ? *named : 0;
}

} // namespace waxwingvale::forwarding
