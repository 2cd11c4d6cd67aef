#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingvale::decision {

// Identifies a request by a digest of its service, method, target and body.
// Every process and release computes the same value. Headers are left out
// because they differ between the copies of one request (deadline, attempt).
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

// Returns the first 64 bits of a SHA-256 over the four parts. Each part is
// preceded by its length, so that the same bytes split differently give
// different digests. The hash is cryptographic because a caller who could
// produce collisions could have another caller's request refused.
request_fingerprint fingerprint_of(const std::string& service,
                                   const std::string& method,
                                   const std::string& target,
                                   const std::string& body);

// A header that takes part in a crash fingerprint.
struct fingerprint_header {
    std::string name;
    std::string value;
};

// Returns the fingerprint by which the quarantine identifies requests: the four
// parts above and the headers. Headers are included because one of them may
// cause the crash, and a popular read without that header must not be refused
// in its place. Headers that differ between the copies of one request
// (Waxwing-*, Idempotency-Key, request and trace ids, Date) are left out,
// because otherwise each copy would count as a new request.
request_fingerprint
crash_fingerprint_of(const std::string& service, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<fingerprint_header>& headers);

} // namespace waxwingvale::decision
