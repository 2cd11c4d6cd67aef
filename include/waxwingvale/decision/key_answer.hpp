#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace waxwingvale::decision {

// One header line of a remembered answer.
struct answer_header {
    std::string name;
    std::string value;

    friend bool operator==(const answer_header& a, const answer_header& b) {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
};

// A backend server's whole answer, as every copy of its request gets it.
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

// The memory that an answer takes, in bytes, for the limit of a key store.
std::size_t size_in_memory(const whole_answer& answer);

} // namespace waxwingvale::decision
