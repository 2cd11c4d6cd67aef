#include "model/document_path.hpp"

#include <algorithm>

namespace waxwingvale {

namespace {

using nlohmann::json;

constexpr std::size_t shown_limit = 60; // characters of a value in an error

std::string shown_field(std::string_view name) {
    const bool plain =
        !name.empty() && name.size() <= shown_limit &&
        std::all_of(name.begin(), name.end(), [](char c) {
            return is_name_character(c) || c == '_' || (c >= 'A' && c <= 'Z');
        });
    return plain ? std::string(name) : shown(json(std::string(name)));
}

} // namespace

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

std::string shown(const json& value) {
    constexpr int on_one_line = -1;
    constexpr bool only_ascii = true;
    if (value.is_object() || value.is_array()) {
        return value.is_object() ? "an object" : "an array";
    }
    auto text = value.dump(on_one_line, ' ', only_ascii);
    if (text.size() > shown_limit) {
        text.resize(shown_limit);
        text += "...";
    }
    return text;
}

std::string join(const std::string& path, std::string_view field) {
    return path.empty() ? shown_field(field) : path + "." + shown_field(field);
}

std::string element_path(const std::string& path, std::size_t index) {
    return path + "[" + std::to_string(index) + "]";
}

} // namespace waxwingvale
