#include "request_keys/key_fault.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace request_keys {

void key_node::start(time_point now, const key_limits& limits) {
    started = now;
    store = std::make_unique<key_store>(id, now, limits);
    last_asked.clear();
}

key_decision key_fault::on_request(key_node& node, const model_request& of,
                                   time_point now) const {
    return node.store->on_request(of.key, of.body, of.waiter, now);
}

key_effects key_fault::on_hand_over_request(key_node& node,
                                            const hand_over_request& of,
                                            time_point now) const {
    return node.store->on_hand_over_request(of, now);
}

key_effects key_fault::on_hand_over_reply(key_node& node,
                                          const hand_over_reply& of,
                                          time_point now) const {
    return node.store->on_hand_over_reply(of, now);
}

key_effects key_fault::on_hand_over_failed(key_node& node,
                                           const std::string& key, bool gone,
                                           time_point now) const {
    return node.store->on_hand_over_failed(key, gone, now);
}

std::uint64_t key_fault::next_incarnation(std::uint64_t last) const {
    return last + 1;
}

key_limits key_fault::small_limits() {
    key_limits limits;
    limits.lifetime = std::chrono::seconds(20);
    limits.keys = 3;
    limits.max_answer_bytes = 200;
    limits.answer_bytes = 600;
    limits.max_ahead = std::chrono::seconds(5);
    return limits;
}

} // namespace request_keys
