#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::entry {

// One decision on a call, with what decided it as "key=value key=value".
struct call_step {
    time_point when{};
    const char* event = "";
    std::string facts;
};

// What was decided on one call, in order. It is kept while the call is open,
// and logged when the call has not ended as it should: lines for every step of
// every call would cost more processor time than many machines have.
class call_story {
public:
    void add(time_point when, const char* event, std::string facts = {}) {
        if (steps_.size() < most_steps) {
            steps_.push_back({when, event, std::move(facts)});
        }
    }
    const std::vector<call_step>& steps() const { return steps_; }

private:
    // A call reaches few backend servers; this bounds what one can log.
    static constexpr std::size_t most_steps = 24;

    std::vector<call_step> steps_;
};

// "key=value" with the value quoted where it has to be.
std::string fact(const char* key, const std::string& value);
std::string fact(const char* key, std::uint64_t value);
// In milliseconds with their fraction; `key` ends in "_ms".
std::string fact(const char* key, duration value);

} // namespace waxwingvale::entry
