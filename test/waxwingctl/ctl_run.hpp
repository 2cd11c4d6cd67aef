#pragma once

#include <string>
#include <vector>

// What one run of waxwingctl left.
struct ctl_run {
    int code = 0;
    std::string out;
    std::string err;
};

ctl_run run_ctl(const std::vector<std::string>& arguments);
