#include "request_keys/key_fault.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace request_keys {

void model_instance::start(time_point now, const key_limits& limits) {
    started = now;
    store = std::make_unique<key_store>(id, now, limits);
    last_requests.clear();
}

key_decision key_fault::on_request(model_instance& instance,
                                   const model_request& sent,
                                   time_point now) const {
    return instance.store->on_request(sent.key, sent.body, sent.waiter, now);
}

key_effects key_fault::on_hand_over_request(model_instance& instance,
                                            const hand_over_request& received,
                                            time_point now) const {
    return instance.store->on_hand_over_request(received, now);
}

key_effects key_fault::on_hand_over_reply(model_instance& instance,
                                          const hand_over_reply& received,
                                          time_point now) const {
    return instance.store->on_hand_over_reply(received, now);
}

key_effects key_fault::on_hand_over_failed(model_instance& instance,
                                           const std::string& key, bool gone,
                                           time_point now) const {
    return instance.store->on_hand_over_failed(key, gone, now);
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
    limits.max_issued_ahead = std::chrono::seconds(5);
    return limits;
}

} // namespace request_keys
