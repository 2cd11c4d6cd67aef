#include "standin/http_request_once.hpp"

#include <optional>
#include <utility>

namespace waxwingvale::standin {

namespace {

constexpr unsigned status_ok = 200;

io::http_call call_to(std::uint16_t port, const std::string& method,
                      const std::string& target) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = port;
    call.method = method;
    call.target = target;
    return call;
}

} // namespace

io::http_call_result http_request_once(io::http_call call) {
    kernel::event_loop loop;
    io::http_client client(loop, {});
    std::optional<io::http_call_result> ended;
    if (call.host.empty()) {
        call.host = "127.0.0.1";
    }
    client.send(std::move(call),
                [&](io::http_call_result r) { ended = std::move(r); });
    while (!ended) {
        loop.run_once(true);
    }
    return std::move(*ended);
}

io::http_call_result http_get(std::uint16_t port, const std::string& target) {
    return http_request_once(call_to(port, "GET", target));
}

io::http_call_result http_post(std::uint16_t port, const std::string& target,
                               const std::string& body) {
    auto call = call_to(port, "POST", target);
    call.body = body;
    return http_request_once(std::move(call));
}

std::string body_of(const io::http_call_result& ended) {
    const bool whole =
        ended.response && ended.response.value().status == status_ok;
    return whole ? ended.response.value().body : "";
}

unsigned status_of(const io::http_call_result& ended) {
    return ended.response ? ended.response.value().status : 0;
}

} // namespace waxwingvale::standin
