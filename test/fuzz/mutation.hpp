#pragma once

#include <string>

// The input changed in one of the ways in which bytes go wrong: flipped,
// cut, doubled, nested, or a number made extreme. To be called within a
// property that rapidcheck runs.
std::string mutated(std::string input);
