#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingvale::io {

// Parts of a JSON text, found in one pass without building a tree: a tree of
// some small values takes many times their bytes, and far longer to make. Only
// the outline is checked; each part is whatever stands there, for a parser to
// judge.

// Containers within one another go so many levels deep.
constexpr std::size_t most_json_levels = 64;

// How a JSON text compares with what a tree of it may cost.
enum class json_extent { fits, too_deep, too_many_values };

// Counts values and levels up to the bound that is passed first. A text that is
// no JSON has some extent, too.
json_extent extent_of(std::string_view text, std::size_t most_values);

// A JSON object whose list is cut out.
struct json_list {
    std::string frame; // the object, its list empty
    std::vector<std::string_view> elements;
};

// Cuts the elements of the list of that name out of an object. An object
// without it has no elements. Nothing when the text is no object, is nested too
// deeply, or has more elements than `most`.
std::optional<json_list> cut_list(std::string_view text, std::string_view name,
                                  std::size_t most);

// A field of an object, as it stands in the text: the name without its quotes.
struct json_field {
    std::string_view name;
    std::string_view value;
};

// The fields of an object, at most 64. Nothing when the text is no such object.
std::optional<std::vector<json_field>> cut_fields(std::string_view text);

} // namespace waxwingvale::io
