#include "waxwingctl/printed_json.hpp"

namespace waxwingvale::ctl {

namespace {

constexpr const char* absent = "-";

// The value at the pointer, or null.
const printed_json* find_at(const printed_json& document, const char* pointer) {
    const printed_json::json_pointer where(pointer);
    return document.contains(where) ? &document.at(where) : nullptr;
}

std::string dumped(const printed_json& value, int indent) {
    constexpr bool only_ascii = false;
    return value.dump(indent, ' ', only_ascii,
                      printed_json::error_handler_t::replace);
}

// Control characters from afar would move the terminal's cursor.
std::string without_control_characters(std::string text) {
    for (auto& c : text) {
        const bool control = static_cast<unsigned char>(c) < ' ' || c == '\x7f';
        c = control ? '?' : c;
    }
    return text;
}

} // namespace

std::string shown(const printed_json& value) {
    constexpr int on_one_line = -1;
    if (value.is_null()) {
        return absent;
    }
    return without_control_characters(value.is_string()
                                          ? value.get<std::string>()
                                          : dumped(value, on_one_line));
}

std::string text_at(const printed_json& document, const char* pointer) {
    const auto* found = find_at(document, pointer);
    return found == nullptr ? absent : shown(*found);
}

bool is_true(const printed_json& document, const char* pointer) {
    const auto* found = find_at(document, pointer);
    return found != nullptr && found->is_boolean() && found->get<bool>();
}

std::vector<printed_json> elements(const printed_json& document,
                                   const char* pointer) {
    const auto* found = find_at(document, pointer);
    const bool array = found != nullptr && found->is_array();
    return array ? std::vector<printed_json>(found->begin(), found->end())
                 : std::vector<printed_json>();
}

std::string to_printed_text(const printed_json& document) {
    constexpr int indent = 2;
    return dumped(document, indent) + "\n";
}

} // namespace waxwingvale::ctl
