#include "waxwingctl/admin_client.hpp"

#include <curl/curl.h>
#include <memory>
#include <optional>
#include <utility>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/event_loop.hpp>

namespace waxwingvale::ctl {

namespace {

constexpr unsigned status_ok = 200;
constexpr duration answer_timeout = std::chrono::seconds(5);

io::http_call call_to(const admin_address& address, const std::string& token,
                      const admin_request& request) {
    io::http_call call;
    call.host = address.host;
    call.port = address.port;
    call.method = request.method;
    call.target = request.target;
    call.headers = {{"Authorization", "Bearer " + token}};
    call.body = request.body;
    call.timeout = answer_timeout;
    return call;
}

// What an answer other than 200 tells, as an error.
error refusal(const admin_address& from, unsigned status,
              const printed_json& document) {
    const auto detail = text_at(document, "/error/detail");
    return {error_code::refused, "ask", to_string(from),
            "status " + std::to_string(status) + ": " + detail};
}

result<printed_json> read_answer(const admin_address& from,
                                 const result<io::http_response>& answer) {
    if (!answer) {
        return answer.error();
    }
    constexpr bool throw_errors = false;
    auto document =
        printed_json::parse(answer.value().body, nullptr, throw_errors);
    if (answer.value().status != status_ok) {
        return refusal(from, answer.value().status, document);
    }
    if (!document.is_object()) {
        return error{error_code::malformed, "read answer", to_string(from),
                     "expected a JSON object"};
    }
    return document;
}

} // namespace

std::vector<admin_answer> ask_admins(const std::vector<admin_address>& admins,
                                     const std::string& token,
                                     const admin_request& request) {
    kernel::event_loop loop;
    io::http_client client(loop, {});
    std::vector<std::optional<result<printed_json>>> documents(admins.size());
    std::size_t open = admins.size();
    for (std::size_t i = 0; i < admins.size(); ++i) {
        client.send(call_to(admins[i], token, request),
                    [&, i](io::http_call_result ended) {
                        documents[i] = read_answer(admins[i], ended.response);
                        --open;
                    });
    }
    while (open > 0) {
        loop.run_once(true);
    }
    std::vector<admin_answer> answers;
    for (std::size_t i = 0; i < admins.size(); ++i) {
        answers.push_back({admins[i], std::move(*documents[i])});
    }
    return answers;
}

std::string url_escaped(const std::string& text) {
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())),
        curl_free);
    return escaped ? escaped.get() : "";
}

} // namespace waxwingvale::ctl
