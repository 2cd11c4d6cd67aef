#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Fingerprints of requests that got a complete answer a short while ago. Each
// is kept for one to two periods. At most `limit` fingerprints are added in one
// period; more are ignored.
class recent_answers {
public:
    recent_answers(duration period, std::size_t limit);

    void add(request_fingerprint fingerprint, time_point now);
    bool contains(request_fingerprint fingerprint, time_point now);

private:
    using generation = std::unordered_set<std::uint64_t>;

    void rotate(time_point now);

    duration period_;
    std::size_t limit_;
    time_point current_since_{};
    generation current_;
    generation previous_;
};

} // namespace waxwingvale::decision
