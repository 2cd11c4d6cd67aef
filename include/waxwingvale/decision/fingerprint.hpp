#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
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

// What makes two requests copies of one for the quarantine: who asks whom for
// what. The service that runs them is no part of it: a configuration may send
// the next copy to another one.
struct copy_identity {
    std::string authority; // the host, or what else the target is relative to
    std::string tenant;    // the client account
    std::string method;
    std::string target;
    std::string_view body; // its beginning counts, up to identified_body
    std::vector<fingerprint_header> headers;
};

// A long body is passed on while it comes, so that no more of it is known when
// a copy is to be recognised.
constexpr std::size_t identified_body = 256 * 1024; // bytes

request_fingerprint crash_fingerprint_of(const copy_identity& of);

// The fingerprint of all copies that have the same headers with any values: a
// caller may number its copies, or sign each, in a header of its own.
request_fingerprint varying_fingerprint_of(const copy_identity& of);

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
