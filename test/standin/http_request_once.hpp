#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <waxwingvale/io/http_client.hpp>

namespace waxwingvale::standin {

// Sends one request to a port of 127.0.0.1 and waits for its end, on a loop of
// its own; for tests, which may wait.
io::http_call_result http_request_once(io::http_call call);

// The same by GET or POST without headers.
io::http_call_result http_get(std::uint16_t port, const std::string& target);
io::http_call_result http_post(std::uint16_t port, const std::string& target,
                               const std::string& body = "");

// The body of the answer, or empty when there was none with status 200.
std::string body_of(const io::http_call_result& ended);

// The status of the answer, or 0 when there was none.
unsigned status_of(const io::http_call_result& ended);

} // namespace waxwingvale::standin
