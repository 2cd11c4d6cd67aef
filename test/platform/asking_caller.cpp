#include "platform/asking_caller.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace waxwingvale::platform {

namespace {

constexpr duration gives_up_after = std::chrono::seconds(3);

} // namespace

asking_caller::asking_caller(kernel::event_loop& loop,
                             kernel::timer_service& timers, duration deadline)
    : timers_(timers), deadline_(deadline), client_(loop, {}) {}

std::string asking_caller::ask(std::uint16_t port, const std::string& method,
                               const std::string& target, std::string body) {
    auto id = "own-" + std::to_string(++asked_);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_);
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = port;
    call.method = method;
    call.target = target;
    call.body = std::move(body);
    call.headers = {
        {"Host", "a.example"},
        {"Waxwingvale-Attempt-Id", id},
        {"Waxwingvale-Request-Deadline", std::to_string(milliseconds.count())}};
    call.timeout = gives_up_after;
    ++open_;
    client_.send(std::move(call), [this, id, sent = timers_.now()](
                                      const io::http_call_result& ended) {
        --open_;
        answers_[id] = {ended.response ? ended.response.value().status : 0,
                        timers_.now() - sent};
    });
    return id;
}

std::size_t asking_caller::count_of(unsigned status) const {
    const auto count =
        std::count_if(answers_.begin(), answers_.end(), [&](const auto& each) {
            return each.second.status == status;
        });
    return static_cast<std::size_t>(count);
}

duration asking_caller::longest() const {
    duration longest{};
    for (const auto& each : answers_) {
        longest = std::max(longest, each.second.took);
    }
    return longest;
}

} // namespace waxwingvale::platform
