#include <waxwingvale/decision/idempotency_key.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>
#include <vector>

namespace waxwingvale::decision {
namespace {

constexpr std::size_t key_parts = 4;

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    for (;;) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

// Parses a whole number without sign or leading zeros. Every number has exactly
// one accepted spelling, so that two spellings of a key cannot mean the same
// key.
std::optional<std::uint64_t> parse_number(std::string_view text) {
    if (text.empty() || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

// Parses `<incarnation>[-<issued>]` into the key. Returns false if malformed.
bool parse_incarnation(std::string_view text, idempotency_key& key) {
    const auto parts = split(text, '-');
    const auto incarnation = parse_number(parts[0]);
    if (!incarnation || parts.size() > 2) {
        return false;
    }
    key.holder.incarnation = *incarnation;
    if (parts.size() == 1) {
        return true;
    }
    const auto issued = parse_number(parts[1]);
    key.issued_s = issued.value_or(0);
    return issued.has_value();
}

bool is_printable(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

} // namespace

std::optional<idempotency_key> parse_idempotency_key(const std::string& text) {
    if (text.size() > max_idempotency_key_bytes || !is_printable(text)) {
        return std::nullopt;
    }
    const auto parts = split(text, '.');
    if (parts.size() != key_parts || parts[0].empty() || parts[2].empty()) {
        return std::nullopt;
    }
    idempotency_key key;
    key.holder.name = std::string(parts[0]);
    key.caller = std::string(parts[2]);
    const auto counter = parse_number(parts[3]);
    if (!counter || !parse_incarnation(parts[1], key)) {
        return std::nullopt;
    }
    key.counter = *counter;
    return key;
}

std::string key_prefix(const member_id& holder, duration age) {
    const auto issued = std::chrono::duration_cast<std::chrono::seconds>(
        std::max(age, duration::zero()));
    return holder.name + '.' + std::to_string(holder.incarnation) + '-' +
           std::to_string(issued.count());
}

std::string prefixed_key(const std::string& prefix, const std::string& plain) {
    constexpr char digits[] = "0123456789abcdef";
    std::string escaped;
    for (const unsigned char c : plain) {
        if (std::isalnum(c) != 0 || c == '-') {
            escaped += static_cast<char>(c);
        } else {
            escaped += '_';
            escaped += digits[c >> 4U];
            escaped += digits[c & 0xfU];
        }
    }
    return prefix + '.' + escaped + ".0";
}

} // namespace waxwingvale::decision
