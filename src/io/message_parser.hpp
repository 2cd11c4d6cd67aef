#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace waxwingvale::io {

// The library's parser of requests or answers; what it finds is kept as the
// product's own type of message. Fields after the body are no part of the head:
// taken for headers they could name another length or host.
template <bool IsRequest, typename Message>
class message_parser : public boost::beast::http::basic_parser<IsRequest> {
public:
    Message message;
    bool head_done = false;
    bool body_grew = false; // since it was last set to false

protected:
    using string_view = boost::beast::string_view;
    using parse_result = boost::beast::error_code;

    static std::string text(string_view view) {
        return std::string(view.data(), view.size());
    }

    void on_request_impl(boost::beast::http::verb, string_view, string_view,
                         int, parse_result&) override {}
    void on_response_impl(int, string_view, int, parse_result&) override {}
    void on_field_impl(boost::beast::http::field, string_view name,
                       string_view value, parse_result&) override {
        if (!head_done) {
            message.headers.push_back({text(name), text(value)});
        }
    }
    void on_header_impl(parse_result&) override { head_done = true; }
    void on_chunk_header_impl(std::uint64_t, string_view,
                              parse_result&) override {}

private:
    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           parse_result&) override {}
    std::size_t on_body_impl(string_view bytes, parse_result&) override {
        return take(bytes);
    }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes,
                                   parse_result&) override {
        return take(bytes);
    }
    void on_finish_impl(parse_result&) override {}

    std::size_t take(string_view bytes) {
        message.body.append(bytes.data(), bytes.size());
        body_grew = body_grew || !bytes.empty();
        return bytes.size();
    }
};

} // namespace waxwingvale::io
