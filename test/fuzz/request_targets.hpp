#pragma once

#include <string>
#include <vector>

// What callers and operators send. The input's first line is the method, the
// second the target, then header lines up to an empty one, then the body.
void run_caller_headers(const std::string& input);
std::vector<std::string> caller_headers_seeds();
void run_request_key(const std::string& input);
std::vector<std::string> request_key_seeds();
void run_admin_request(const std::string& input);
std::vector<std::string> admin_request_seeds();
