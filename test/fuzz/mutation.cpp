#include "mutation.hpp"

#include <rapidcheck.h>

namespace {

std::size_t place_in(const std::string& input) {
    return *rc::gen::inRange<std::size_t>(0, input.size() + 1);
}

char any_byte() {
    return static_cast<char>(*rc::gen::inRange(0, 256));
}

std::string flip(std::string input) {
    if (!input.empty()) {
        input[place_in(input) % input.size()] = any_byte();
    }
    return input;
}

std::string insert(std::string input) {
    return input.insert(place_in(input), 1, any_byte());
}

std::string cut(std::string input) {
    const auto from = place_in(input);
    return input.erase(from, *rc::gen::inRange<std::size_t>(1, 12));
}

std::string truncate(std::string input) {
    input.resize(place_in(input));
    return input;
}

std::string double_part(std::string input) {
    const auto part =
        input.substr(place_in(input), *rc::gen::inRange<std::size_t>(1, 40));
    return input.insert(place_in(input), part);
}

// Opens many containers, in JSON and in CBOR.
std::string nest(std::string input) {
    const auto open = *rc::gen::element('[', '\x81', '\xc1');
    constexpr std::size_t levels = 200'000;
    return input.insert(place_in(input), levels, open);
}

std::string replace_number(std::string input) {
    const auto at = input.find_first_of("0123456789", place_in(input));
    if (at == std::string::npos) {
        return input;
    }
    const std::string extreme = *rc::gen::element<std::string>(
        "-1", "0", "65536", "4294967296", "18446744073709551616", "1e308",
        "1e999", "0.5", "null", "\"1\"");
    return input.replace(at, 1, extreme);
}

// A CBOR head that announces a number or length of eight bytes.
std::string replace_head(std::string input) {
    const std::string head = *rc::gen::element<std::string>(
        "\x1b", "\x3b", "\x5b", "\x7b", "\x9b", "\xbb", "\xfb");
    const std::string eight = *rc::gen::element(
        std::string(8, '\xff'), std::string("\x7f") + std::string(7, '\xff'),
        std::string(8, '\0'));
    const auto at = place_in(input);
    return input.replace(at, 1, head + eight);
}

using mutator = std::string (*)(std::string);

} // namespace

std::string mutated(std::string input) {
    const mutator chosen =
        *rc::gen::weightedElement<mutator>({{8, flip},
                                            {4, insert},
                                            {4, cut},
                                            {2, truncate},
                                            {4, double_part},
                                            {1, nest},
                                            {6, replace_number},
                                            {6, replace_head}});
    return chosen(std::move(input));
}
