#pragma once

#include <string>
#include <vector>

// Bytes of a connection to a backend server: whatever pieces they come in, they
// are read alike, and an answer is what RFC 9110 and RFC 9112 allow as one.
void run_answer(const std::string& input);
std::vector<std::string> answer_seeds();

// The head of an answer of the platform, which comes whole.
void run_answer_head(const std::string& input);
std::vector<std::string> answer_head_seeds();
