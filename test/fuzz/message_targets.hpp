#pragma once

#include <string>
#include <vector>

// Messages between the system's own processes. What is decoded, encoded again
// and decoded once more is the same: nothing is taken that could not be sent.
void run_link_frame(const std::string& input);
std::vector<std::string> link_frame_seeds();
void run_key_message(const std::string& input);
std::vector<std::string> key_message_seeds();
void run_grant_message(const std::string& input);
std::vector<std::string> grant_message_seeds();
void run_suspicion(const std::string& input);
std::vector<std::string> suspicion_seeds();
void run_exchange(const std::string& input);
std::vector<std::string> exchange_seeds();
void run_platform_list(const std::string& input);
std::vector<std::string> platform_list_seeds();
