#include "waxwingctl/log_line.hpp"

#include <algorithm>

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::ctl {

namespace {

// Fields that a trace shows in columns of their own, or not at all.
constexpr std::string_view common_fields[] = {
    "time", "level", "program", "instance", "event", "request", "call"};

// Takes a quoted value, from behind its first quote, off the text.
std::optional<std::string> take_quoted(std::string_view& text) {
    std::string value;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return value;
        }
        const bool escaped = text[i] == '\\' && i + 1 < text.size();
        if (escaped) {
            ++i;
            value += text[i] == 'n' ? '\n' : text[i];
        } else {
            value += text[i];
        }
    }
    return std::nullopt;
}

std::string take_plain(std::string_view& text) {
    const auto size = std::min(text.find(' '), text.size());
    std::string value(text.substr(0, size));
    text.remove_prefix(size);
    return value;
}

} // namespace

std::optional<log_line> log_line::parse(std::string_view text) {
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    log_line line;
    while (!text.empty()) {
        if (text.front() == ' ') {
            text.remove_prefix(1);
            continue;
        }
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            break; // words behind the last field
        }
        std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        if (text.empty() || text.front() != '"') {
            line.fields_.emplace_back(std::move(key), take_plain(text));
            continue;
        }
        text.remove_prefix(1);
        auto value = take_quoted(text);
        if (!value) {
            return std::nullopt;
        }
        line.fields_.emplace_back(std::move(key), std::move(*value));
    }
    if (line.value("event").empty()) {
        return std::nullopt;
    }
    return line;
}

const std::string& log_line::value(std::string_view key) const {
    static const std::string none;
    const auto found =
        std::find_if(fields_.begin(), fields_.end(),
                     [&](const auto& field) { return field.first == key; });
    return found == fields_.end() ? none : found->second;
}

std::string log_line::facts() const {
    std::string text;
    for (const auto& field : fields_) {
        const bool common =
            std::find(std::begin(common_fields), std::end(common_fields),
                      field.first) != std::end(common_fields);
        if (!common) {
            text += text.empty() ? "" : " ";
            text += field.first + "=" + program::quote_log_value(field.second);
        }
    }
    return text;
}

} // namespace waxwingvale::ctl
