#pragma once

#include <cstdint>
#include <string>
#include <vector>

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

// A header line that may be part of what crashes a backend server.
struct fingerprint_header {
    std::string name;
    std::string value;
};

// The fingerprint by which crashing requests are known: as above, and with the
// headers, since a crash may come from one of them and a popular read without
// it must not be shut out in its place. Left out are headers that differ
// between the copies of one request (Waxwing-*, Idempotency-Key, request and
// trace ids, Date), or each copy would pass for a new request.
request_fingerprint
crash_fingerprint_of(const std::string& service, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<fingerprint_header>& headers);

} // namespace waxwingvale::decision
