#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

// How errors name places in a document and show what stands there.
namespace waxwingvale {

// Lower-case letters, digits and '-'.
bool is_name_character(char c);

// The value as it stands in the document, cut short. Only ASCII comes out, so
// that a cut never splits a character.
std::string shown(const nlohmann::json& value);

// The path of a field below `path`. Odd names are quoted, because they come
// from the document and end up in terminals and logs.
std::string join(const std::string& path, std::string_view field);

std::string element_path(const std::string& path, std::size_t index);

} // namespace waxwingvale
