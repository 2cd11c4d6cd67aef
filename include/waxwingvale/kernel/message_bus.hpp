#pragma once

#include <functional>
#include <map>
#include <typeindex>
#include <utility>
#include <vector>

namespace waxwingvale::kernel {

// Carries typed messages between the tasks of one loop. A message is handed
// to every subscriber of its type, in the order of subscription, before
// publish() returns. Subscribers live as long as the bus.
class message_bus {
public:
    template <typename Message>
    void subscribe(std::function<void(const Message&)> handler) {
        subscribers_[typeid(Message)].push_back(
            [handler = std::move(handler)](const void* message) {
                handler(*static_cast<const Message*>(message));
            });
    }

    template <typename Message>
    void publish(const Message& message) const {
        const auto found = subscribers_.find(typeid(Message));
        if (found == subscribers_.end()) {
            return;
        }
        for (const auto& deliver : found->second) {
            deliver(&message);
        }
    }

private:
    using delivery = std::function<void(const void*)>;
    std::map<std::type_index, std::vector<delivery>> subscribers_;
};

} // namespace waxwingvale::kernel
