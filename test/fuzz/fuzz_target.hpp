#pragma once

#include <string>
#include <vector>

// One function of ours that reads what comes from outside, together with what
// must hold for it. A target throws std::logic_error when that is broken;
// anything else that ends the process is a failure as well.
struct fuzz_target {
    const char* name;
    void (*run)(const std::string& input);
    // Valid inputs, from which others are made by mutation.
    std::vector<std::string> (*seeds)();
};

// All targets; tools/fuzz and the tests go through this table.
const std::vector<fuzz_target>& fuzz_targets();

// The target of that name; throws std::out_of_range when there is none.
const fuzz_target& find_fuzz_target(const std::string& name);

// Throws std::logic_error with that text unless the condition holds.
void must_hold(bool condition, const char* what);

using byte_string = std::vector<unsigned char>;
byte_string to_bytes(const std::string& text);
std::string to_text(const byte_string& bytes);
