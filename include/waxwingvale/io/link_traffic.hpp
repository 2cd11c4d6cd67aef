#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace waxwingvale::io {

// One sort of messages over links: their kind, and whether they go to a peer in
// another data centre.
struct traffic_class {
    std::string kind;
    bool crosses_data_centres = false;

    friend bool operator<(const traffic_class& a, const traffic_class& b) {
        return std::tie(a.kind, a.crosses_data_centres) <
               std::tie(b.kind, b.crosses_data_centres);
    }
};

// How many messages were sent, and the bytes of their payloads.
struct traffic_sum {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const traffic_sum& a, const traffic_sum& b) {
        return std::tie(a.messages, a.bytes) == std::tie(b.messages, b.bytes);
    }
};

// Counts what is sent over links, by kind and by how far it goes.
class link_traffic {
public:
    // Tells which peers lie in another data centre; until then none does.
    void locate_by(std::function<bool(const std::string& peer)> is_far) {
        is_far_ = std::move(is_far);
    }
    void record(const std::string& peer, const std::string& kind,
                std::size_t bytes);
    const std::map<traffic_class, traffic_sum>& sent() const { return sent_; }

private:
    std::function<bool(const std::string& peer)> is_far_;
    std::map<traffic_class, traffic_sum> sent_;
};

} // namespace waxwingvale::io
