#include "platform/working_server.hpp"

#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace waxwingvale::platform {

working_server::working_server(kernel::event_loop& loop,
                               kernel::timer_service& timers, std::string id,
                               duration work, unsigned slots)
    : timers_(timers),
      id_(std::move(id)),
      work_(work),
      slots_(slots),
      server_(loop, {}) {
    const auto started = server_.start(
        [this](const io::http_request& request,
               const io::http_responder& respond) { take(request, respond); });
    if (!started) {
        throw std::runtime_error(to_string(started.error()));
    }
}

std::string working_server::entry(const std::string& service,
                                  const std::string& zone,
                                  std::uint16_t reached_at) const {
    return nlohmann::json{
        {"Service", service},
        {"Address", "127.0.0.1:" + std::to_string(reached_at)},
        {"Zone", zone},
        {"Version", "v1"},
        {"MaxConcurrency", slots_},
        {"State", "ready"},
        {"ColdRemaining", 0},
        {"Sequence", 1}}
        .dump();
}

io::http_response working_server::made(unsigned status) const {
    io::http_response answer;
    answer.status = status;
    answer.headers = {
        {"Waxwingvale-Instance-Id", id_},
        {"Waxwingvale-Server-Load", std::to_string(running_.size()) + ",0," +
                                        std::to_string(slots_) + ",100"}};
    return answer;
}

void working_server::take(const io::http_request& request,
                          const io::http_responder& respond) {
    const auto* id = io::find_header(request.headers, "Waxwingvale-Attempt-Id");
    if (id == nullptr) {
        respond(made(200)); // a liveness check
        return;
    }
    if (running_.size() >= slots_) {
        auto answer = made(503);
        answer.headers.push_back({"Waxwingvale-Not-Executed", "1"});
        answer.headers.push_back({"Waxwingvale-Attempt-Id", *id});
        respond(std::move(answer));
        return;
    }
    ++runs_;
    if (on_run_) {
        on_run_(*id);
    }
    running_.push_back({respond, *id, {}});
    const auto begun = std::prev(running_.end());
    begun->end = timers_.after(work_, [this, begun](time_point) {
        const auto ended = std::move(*begun);
        running_.erase(begun);
        auto answer = made(200);
        answer.headers.push_back({"Waxwingvale-Response-Signature", "s"});
        answer.headers.push_back({"Waxwingvale-Attempt-Id", ended.attempt});
        ended.respond(std::move(answer));
    });
}

} // namespace waxwingvale::platform
