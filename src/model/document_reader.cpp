#include "model/document_reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "model/document_path.hpp"

namespace waxwingvale {

namespace {

using nlohmann::json;

constexpr std::size_t name_limit = 63;   // characters, as a DNS label
constexpr std::size_t text_limit = 4096; // characters
const json& empty_object() {
    static const json none = json::object();
    return none;
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= name_limit && text.front() != '-' &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_ip_number(const std::string& text) {
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::string range_text(number_range range) {
    return "from " + std::to_string(range.least) + " to " +
           std::to_string(range.most);
}

std::string decimal(double value) {
    return json(value).dump();
}

} // namespace

object_reader::object_reader(const json& value, std::string path,
                             document_problems& problems)
    : value_(&value), path_(std::move(path)), problems_(&problems) {
    if (!value.is_object()) {
        problems_->add(path_, "expected an object, found " + shown(value));
        value_ = &empty_object();
    }
}

bool object_reader::has(const char* name) const {
    return value_->contains(name);
}

std::string object_reader::path_of(std::string_view name) const {
    return join(path_, name);
}

std::string object_reader::quoted(const std::string& text) {
    return shown(json(text));
}

void object_reader::complain(std::string_view field,
                             const std::string& detail) {
    problems_->add(path_of(field), detail);
}

void object_reader::complain_at(const std::string& below,
                                const std::string& detail) {
    problems_->add(path_.empty() ? below : path_ + "." + below, detail);
}

void object_reader::complain_of(const char* field, const std::string& expected,
                                const json& found) {
    complain(field, "expected " + expected + ", found " + shown(found));
}

const json* object_reader::find(const char* field) {
    asked_for_.insert(field);
    const auto found = value_->find(field);
    return found == value_->end() ? nullptr : &*found;
}

const json* object_reader::require(const char* field, const char* expected) {
    const auto* found = find(field);
    // An object that is no object was complained about when it was opened.
    if (found == nullptr && value_ != &empty_object()) {
        complain(field, std::string("expected ") + expected + ", but missing");
    }
    return found;
}

std::string object_reader::text_in(const char* field, const json* value) {
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        complain_of(field, "a text that is not empty", *value);
        return "";
    }
    auto text = value->get<std::string>();
    if (text.size() > text_limit) {
        complain_of(field,
                    "at most " + std::to_string(text_limit) + " characters",
                    *value);
        return "";
    }
    return text;
}

std::string object_reader::name_in(const char* field, const json* value) {
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string() || !is_name(value->get_ref<const std::string&>())) {
        complain_of(field,
                    "a name of at most 63 lower-case letters, digits and '-'",
                    *value);
        return "";
    }
    return value->get<std::string>();
}

std::string object_reader::ip_number_in(const char* field, const json* value) {
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string() ||
        !is_ip_number(value->get_ref<const std::string&>())) {
        complain_of(field, "an IP number such as 127.0.0.1", *value);
        return "";
    }
    return value->get<std::string>();
}

namespace {

// 6, 6.0 and 6e3 are whole numbers; what fills in settings may write either.
std::optional<std::uint64_t> whole_number(const json& value) {
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    constexpr double largest = 9007199254740992.; // beyond, not all are exact
    if (!value.is_number_float()) {
        return std::nullopt;
    }
    const auto number = value.get<double>();
    const bool whole =
        number >= 0 && number <= largest && std::floor(number) == number;
    return whole ? std::optional<std::uint64_t>(
                       static_cast<std::uint64_t>(number))
                 : std::nullopt;
}

} // namespace

std::uint64_t object_reader::number_in(const char* field, const json* value,
                                       number_range range) {
    if (value == nullptr) {
        return range.least;
    }
    const auto whole = whole_number(*value);
    if (!whole || *whole < range.least || *whole > range.most) {
        complain_of(field, "a whole number " + range_text(range), *value);
        return range.least;
    }
    return *whole;
}

std::string object_reader::name(const char* field) {
    return name_in(field, require(field, "a name"));
}

std::string object_reader::name_or(const char* field,
                                   const std::string& otherwise) {
    const auto* found = find(field);
    return found == nullptr ? otherwise : name_in(field, found);
}

std::string object_reader::text(const char* field) {
    return text_in(field, require(field, "a text"));
}

std::string object_reader::text_or(const char* field,
                                   const std::string& otherwise) {
    const auto* found = find(field);
    return found == nullptr ? otherwise : text_in(field, found);
}

std::optional<ip_endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == text.npos) {
        return std::nullopt;
    }
    ip_endpoint read;
    read.host = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    const auto port = std::from_chars(text.data() + colon + 1, end, read.port);
    const bool whole = port.ec == std::errc() && port.ptr == end;
    return whole && is_ip_number(read.host) ? std::optional<ip_endpoint>(read)
                                            : std::nullopt;
}

ip_endpoint object_reader::endpoint(const char* field) {
    constexpr const char* expected =
        "an IP number and a port such as 127.0.0.1:7180";
    const auto* value = require(field, expected);
    if (value == nullptr) {
        return {};
    }
    const auto read = value->is_string()
                          ? parse_endpoint(value->get<std::string>())
                          : std::nullopt;
    if (!read) {
        complain_of(field, expected, *value);
        return {};
    }
    return *read;
}

std::string object_reader::ip_number(const char* field) {
    return ip_number_in(field, require(field, "an IP number"));
}

std::string object_reader::ip_number_or(const char* field,
                                        const std::string& otherwise) {
    const auto* found = find(field);
    return found == nullptr ? otherwise : ip_number_in(field, found);
}

std::uint64_t object_reader::number(const char* field, number_range range) {
    return number_in(field, require(field, "a whole number"), range);
}

std::uint64_t object_reader::number_or(const char* field, number_range range,
                                       std::uint64_t otherwise) {
    const auto* found = find(field);
    return found == nullptr ? otherwise : number_in(field, found, range);
}

double object_reader::fraction_or(const char* field, fraction_range range,
                                  double otherwise) {
    const auto* found = find(field);
    if (found == nullptr) {
        return otherwise;
    }
    const bool fits = found->is_number() &&
                      found->get<double>() >= range.least &&
                      found->get<double>() <= range.most;
    if (!fits) {
        complain_of(field,
                    "a number from " + decimal(range.least) + " to " +
                        decimal(range.most),
                    *found);
        return otherwise;
    }
    return found->get<double>();
}

bool object_reader::flag_or(const char* field, bool otherwise) {
    const auto* found = find(field);
    if (found == nullptr) {
        return otherwise;
    }
    if (!found->is_boolean()) {
        complain_of(field, "true or false", *found);
        return otherwise;
    }
    return found->get<bool>();
}

duration object_reader::milliseconds(const char* field, number_range range) {
    return std::chrono::milliseconds(number(field, range));
}

duration object_reader::milliseconds_or(const char* field, number_range range,
                                        duration otherwise) {
    const auto* found = find(field);
    if (found == nullptr) {
        return otherwise;
    }
    return std::chrono::milliseconds(number_in(field, found, range));
}

object_reader object_reader::object_or_empty(const char* field) {
    const auto* found = find(field);
    return {found == nullptr ? empty_object() : *found, path_of(field),
            *problems_};
}

object_reader object_reader::object(const char* field) {
    const auto* found = require(field, "an object");
    return {found == nullptr ? empty_object() : *found, path_of(field),
            *problems_};
}

const json* object_reader::array(const char* field, number_range count) {
    const auto* found = find(field);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_array()) {
        complain_of(field, "an array", *found);
        return nullptr;
    }
    if (found->size() < count.least || found->size() > count.most) {
        complain(field, "expected " + range_text(count) + " elements, found " +
                            std::to_string(found->size()));
        return nullptr;
    }
    return found;
}

std::vector<object_reader> object_reader::objects(const char* field,
                                                  number_range count) {
    require(field, "an array of objects");
    return objects_or_none(field, count);
}

std::vector<object_reader> object_reader::objects_or_none(const char* field,
                                                          number_range count) {
    std::vector<object_reader> readers;
    const auto* found = array(field, count);
    if (found == nullptr) {
        return readers;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        readers.emplace_back((*found)[i], element_path(path_of(field), i),
                             *problems_);
    }
    return readers;
}

std::vector<std::string> object_reader::texts(const char* field,
                                              number_range count) {
    require(field, "an array of texts");
    return texts_or_none(field, count);
}

std::vector<std::string> object_reader::texts_or_none(const char* field,
                                                      number_range count) {
    std::vector<std::string> texts;
    const auto* found = array(field, count);
    if (found == nullptr) {
        return texts;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        const auto& element = (*found)[i];
        if (!element.is_string()) {
            problems_->add(element_path(path_of(field), i),
                           "expected a text, found " + shown(element));
            continue;
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

void object_reader::finish() {
    for (const auto& field : value_->items()) {
        if (asked_for_.count(field.key()) == 0) {
            complain(field.key(), "unknown field");
        }
    }
}

} // namespace waxwingvale
