#pragma once

#include <string>

// Compares with the file NAME.expected beside the tests. With
// WAXWING_WRITE_EXPECTED set it writes that file instead, to be read over
// before it is committed.
void check_expected(const std::string& name, const std::string& output);
