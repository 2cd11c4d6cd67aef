#include <waxwingvale/forwarding/caller_exchange.hpp>

#include <utility>

#include "forwarding/caller_connection.hpp"

namespace waxwingvale::forwarding {

caller_exchange::caller_exchange(std::weak_ptr<caller_connection> on,
                                 io::http_request received)
    : connection_(std::move(on)), request_(std::move(received)) {}

std::string caller_exchange::take_body() {
    auto taken = std::exchange(later_body_, {});
    const auto connection = connection_.lock();
    if (connection && !finished()) {
        connection->body_taken();
    }
    return taken;
}

std::size_t caller_exchange::held() const {
    return io::memory_of(request_) + later_body_.capacity();
}

bool caller_exchange::caller_has_left() const {
    const auto connection = connection_.lock();
    return abandoned_ ||
           (connection && !finished_ && connection->caller_has_left());
}

void caller_exchange::answer(io::http_response whole) {
    const auto connection = connection_.lock();
    if (connection && !finished() && !begun_) {
        begun_ = true;
        connection->answer(std::move(whole));
    }
}

void caller_exchange::begin_answer(io::http_response head,
                                   std::optional<std::uint64_t> length) {
    const auto connection = connection_.lock();
    if (connection && !finished() && !begun_) {
        begun_ = true;
        connection->begin_answer(head, length);
    }
}

void caller_exchange::add(std::string_view body) {
    const auto connection = connection_.lock();
    if (connection && !finished() && begun_) {
        connection->add(body);
    }
}

void caller_exchange::end_answer() {
    const auto connection = connection_.lock();
    if (connection && !finished() && begun_) {
        connection->end_answer();
    }
}

std::size_t caller_exchange::waiting() const {
    const auto connection = connection_.lock();
    return connection && !finished() ? connection->waiting() : 0;
}

void caller_exchange::break_off(request_end why) {
    const auto connection = connection_.lock();
    if (connection && !finished()) {
        connection->break_off(why);
    }
}

} // namespace waxwingvale::forwarding
