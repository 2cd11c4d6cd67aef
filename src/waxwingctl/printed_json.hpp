#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace waxwingvale::ctl {

// JSON whose fields keep the order in which they are printed. What comes from
// an entry instance may be of another release, so that readers never rely on
// a field being there.
using printed_json = nlohmann::ordered_json;

// A value as it stands in a table: texts without quotes, "-" for null.
std::string shown(const printed_json& value);

// The value at a JSON pointer (RFC 6901) as a table shows it; "-" if absent.
std::string text_at(const printed_json& document, const char* pointer);

bool is_true(const printed_json& document, const char* pointer);

// The elements of the array at a JSON pointer; none if there is no array.
std::vector<printed_json> elements(const printed_json& document,
                                   const char* pointer);

// Indented text with a line end; what is not UTF-8 is replaced.
std::string to_printed_text(const printed_json& document);

} // namespace waxwingvale::ctl
