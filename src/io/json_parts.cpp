#include "io/json_parts.hpp"

#include <cstddef>

namespace waxwingvale::io {

namespace {

constexpr std::size_t field_limit = 64;
constexpr const char* white_space = " \t\r\n";

// Reads a text from its front on. What fails leaves it somewhere: the text is
// then given up.
class json_cursor {
public:
    explicit json_cursor(std::string_view text) : text_(text) {}

    bool take(char wanted) {
        skip_space();
        if (at_ >= text_.size() || text_[at_] != wanted) {
            return false;
        }
        ++at_;
        return true;
    }

    bool is_next(char wanted) {
        skip_space();
        return at_ < text_.size() && text_[at_] == wanted;
    }

    bool at_end() {
        skip_space();
        return at_ == text_.size();
    }

    // The next of these that stands in no string; 0: there is none.
    char take_sign(const char* signs) {
        at_ = text_.find_first_of(signs, at_);
        while (at_ != text_.npos && text_[at_] == '"') {
            at_ = text_.find_first_of(signs, end_of_string(at_));
        }
        return at_ == text_.npos ? '\0' : text_[at_++];
    }

    // A string with its quotes; empty: there is none.
    std::string_view take_string() {
        return is_next('"') ? take_until(end_of_string(at_)) : "";
    }

    // Any value; empty: there is none.
    std::string_view take_value() {
        if (is_next('"')) {
            return take_string();
        }
        if (is_next('{') || is_next('[')) {
            return take_until(end_of_container(at_));
        }
        const auto end = text_.find_first_of(" \t\r\n,]}", at_);
        return take_until(end == text_.npos ? text_.size() : end);
    }

private:
    void skip_space() {
        const auto next = text_.find_first_not_of(white_space, at_);
        at_ = next == text_.npos ? text_.size() : next;
    }

    // The text up to there; npos: it has no end.
    std::string_view take_until(std::size_t end) {
        if (end == text_.npos) {
            return "";
        }
        const auto taken = text_.substr(at_, end - at_);
        at_ = end;
        return taken;
    }

    // A quote is escaped where an odd number of backslashes stands before it.
    bool is_escaped(std::size_t quote) const {
        const auto before = text_.find_last_not_of('\\', quote - 1);
        return (quote - 1 - before) % 2 == 1;
    }

    std::size_t end_of_string(std::size_t from) const {
        auto quote = text_.find('"', from + 1);
        while (quote != text_.npos && is_escaped(quote)) {
            quote = text_.find('"', quote + 1);
        }
        return quote == text_.npos ? quote : quote + 1;
    }

    std::size_t end_of_container(std::size_t from) const {
        std::size_t depth = 0;
        for (auto at = text_.find_first_of("\"[]{}", from); at != text_.npos;
             at = text_.find_first_of("\"[]{}", at)) {
            if (text_[at] == '"') {
                at = end_of_string(at);
                if (at == text_.npos) {
                    return at;
                }
                continue;
            }
            const bool opens = text_[at] == '[' || text_[at] == '{';
            depth = opens ? depth + 1 : depth - 1;
            ++at;
            if (depth == 0) {
                return at;
            }
            if (depth > most_json_levels) {
                return text_.npos;
            }
        }
        return text_.npos;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

std::string_view without_quotes(std::string_view string) {
    return string.substr(1, string.size() - 2);
}

bool take_elements(json_cursor& from, std::size_t most,
                   std::vector<std::string_view>& into) {
    if (!from.take('[')) {
        return false;
    }
    if (from.take(']')) {
        return true;
    }
    do {
        const auto element = from.take_value();
        if (element.empty() || into.size() == most) {
            return false;
        }
        into.push_back(element);
    } while (from.take(','));
    return from.take(']');
}

// Calls the function at the value of each field of an object; it takes the
// value. Tells whether the text is that object.
template <typename Take>
bool walk_fields(json_cursor& from, Take take) {
    if (!from.take('{')) {
        return false;
    }
    if (!from.take('}')) {
        do {
            const auto name = from.take_string();
            if (name.empty() || !from.take(':') ||
                !take(without_quotes(name))) {
                return false;
            }
        } while (from.take(','));
        if (!from.take('}')) {
            return false;
        }
    }
    return from.at_end();
}

} // namespace

json_extent extent_of(std::string_view text, std::size_t most_values) {
    json_cursor from(text);
    std::size_t depth = 0;
    std::size_t values = 1;
    for (char sign = from.take_sign("\"[]{},"); sign != '\0';
         sign = from.take_sign("\"[]{},")) {
        const bool closes = sign == ']' || sign == '}';
        depth += sign == '[' || sign == '{' ? 1 : 0;
        depth -= closes && depth > 0 ? 1 : 0;
        values += closes ? 0 : 1;
        if (depth > most_json_levels) {
            return json_extent::too_deep;
        }
        if (values > most_values) {
            return json_extent::too_many_values;
        }
    }
    return json_extent::fits;
}

std::optional<json_list> cut_list(std::string_view text, std::string_view name,
                                  std::size_t most) {
    json_list found;
    json_cursor from(text);
    const auto take = [&](std::string_view field) {
        found.frame += found.frame.empty() ? "{\"" : ",\"";
        found.frame.append(field).append("\":");
        if (field == name && from.is_next('[')) {
            found.frame += "[]";
            return take_elements(from, most, found.elements);
        }
        const auto value = from.take_value();
        found.frame.append(value);
        return !value.empty();
    };
    if (!walk_fields(from, take)) {
        return std::nullopt;
    }
    found.frame += found.frame.empty() ? "{}" : "}";
    return found;
}

std::optional<std::vector<json_field>> cut_fields(std::string_view text) {
    std::vector<json_field> fields;
    json_cursor from(text);
    const auto take = [&](std::string_view name) {
        const auto value = from.take_value();
        fields.push_back({name, value});
        return !value.empty() && fields.size() <= field_limit;
    };
    if (!walk_fields(from, take)) {
        return std::nullopt;
    }
    return fields;
}

} // namespace waxwingvale::io
