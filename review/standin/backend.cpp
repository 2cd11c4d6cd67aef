#include "backend.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace {

constexpr const char* attempt_id = "Waxwingvale-Attempt-Id";
constexpr const char* server_load = "Waxwingvale-Server-Load";

} // namespace

backend::backend(std::string id, const std::string& host, unsigned slots,
                 request_handler on_request)
    : id_(std::move(id)),
      host_(host),
      slots_(slots),
      on_request_(std::move(on_request)),
      listener_(listen_on(host, 0)),
      port_(port_of(listener_)) {
    accepting_ = std::thread([this] {
        while (!ended_) {
            const int descriptor = accept_from(listener_);
            if (descriptor >= 0) {
                std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        }
    });
}

backend::~backend() {
    ended_ = true;
    close_descriptor(listener_);
    accepting_.join();
}

std::string backend::entry(const std::string& service,
                           const std::string& zone) const {
    return nlohmann::json{{"Service", service},
                          {"Address", host_ + ":" + std::to_string(port_)},
                          {"Zone", zone},
                          {"Version", "v1"},
                          {"MaxConcurrency", slots_},
                          {"State", "ready"},
                          {"ColdRemaining", 0},
                          {"Sequence", 1}}
        .dump();
}

std::string backend::load() const {
    return std::to_string(running_) + ",0," + std::to_string(slots_);
}

void backend::serve(int descriptor) {
    connection on(descriptor);
    std::string late; // bytes that belong to no request
    while (!ended_) {
        const auto asked = on.read(true);
        if (!asked || !asked->complete) {
            return; // cut short: nothing has run
        }
        if (!late.empty()) {
            on.send(std::exchange(late, {}));
        }
        const auto text = answer(*asked, late);
        if (text.empty() || !on.send(text)) {
            return;
        }
    }
}

std::string backend::health(std::string& late) {
    const auto now = on_health_ ? on_health_() : health_answer();
    auto text = answer_text(
        now.healthy ? 200 : 503, now.healthy ? "OK" : "Service Unavailable",
        {{"Waxwingvale-Instance-Id", id_}, {server_load, load()}}, "");
    late = now.again_late ? text : std::string();
    return text;
}

std::string backend::answer(const message& request, std::string& late) {
    if (request.target() == "/healthz") {
        return health(late);
    }
    const auto named = request.field("Waxwingvale-Target-Instance");
    if (!named.empty() && named != id_) {
        return answer_text(421, "Misdirected Request",
                           {{"Waxwingvale-Instance-Id", id_}}, "");
    }
    ++running_;
    auto text = on_request_(request);
    --running_;
    return text;
}

std::string ran(const backend& by, const message& request,
                const std::string& body) {
    const auto id = request.field(attempt_id);
    return answer_text(200, "OK",
                       {{attempt_id, id},
                        {"Waxwingvale-Response-Signature", "of." + id},
                        {server_load, by.load()}},
                       body);
}

std::string not_executed(const backend& by, const message& request) {
    return answer_text(503, "Service Unavailable",
                       {{attempt_id, request.field(attempt_id)},
                        {"Waxwingvale-Not-Executed", "1"},
                        {server_load, by.load()}},
                       "");
}

} // namespace review
