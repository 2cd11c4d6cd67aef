#pragma once

#include <string>
#include <vector>

// Configuration files and settings: accepted ones round-trip, refused ones
// name the file.
void run_configuration(const std::string& input);
std::vector<std::string> configuration_seeds();
void run_settings(const std::string& input);
std::vector<std::string> settings_seeds();
