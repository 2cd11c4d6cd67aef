#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace waxwingvale::decision {

// One header of a stored answer.
struct answer_header {
    std::string name;
    std::string value;

    friend bool operator==(const answer_header& a, const answer_header& b) {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
};

// The complete answer of a backend server, as every copy of its request
// receives it.
struct whole_answer {
    unsigned status = 0;
    std::vector<answer_header> headers;
    std::string body;

    friend bool operator==(const whole_answer& a, const whole_answer& b) {
        return std::tie(a.status, a.headers, a.body) ==
               std::tie(b.status, b.headers, b.body);
    }
};

using answer_ptr = std::shared_ptr<const whole_answer>;

// Returns the memory that an answer takes, in bytes, as counted against
// key_limits::answer_bytes.
std::size_t size_in_memory(const whole_answer& answer);

} // namespace waxwingvale::decision
