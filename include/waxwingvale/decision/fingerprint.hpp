#pragma once

#include <cstdint>
#include <string>

namespace waxwingvale::decision {

// What makes two requests the same one: service, method, target and body, as a
// digest that every process computes alike. Headers are left out, since they
// change between the copies of one request (deadline, attempt).
struct request_fingerprint {
    std::uint64_t value = 0;

    friend bool operator==(request_fingerprint a, request_fingerprint b) {
        return a.value == b.value;
    }
    friend bool operator!=(request_fingerprint a, request_fingerprint b) {
        return a.value != b.value;
    }
    friend bool operator<(request_fingerprint a, request_fingerprint b) {
        return a.value < b.value;
    }
};

// The first 64 bits of a SHA-256 over the four parts, each with its length in
// front so that no two splits of the same bytes agree. A digest that can be
// made to collide would let one caller shut out another's request.
request_fingerprint fingerprint_of(const std::string& service,
                                   const std::string& method,
                                   const std::string& target,
                                   const std::string& body);

} // namespace waxwingvale::decision
