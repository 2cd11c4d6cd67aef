#include "io/cbor_reading.hpp"

#include <algorithm>
#include <string>

namespace waxwingvale::io {

namespace {

using nlohmann::json;

constexpr std::size_t depth_limit = 16; // containers within one another
// Values of one message, those within others counted too: as many records as a
// message may have, with room for their fields.
constexpr std::size_t value_limit = 512 * 1024;
constexpr int bad_value = 501; // the library's number for such errors

// Walks through a message and keeps nothing but how deep it is nested and how
// many values it has: a value of one byte takes many times that in a tree.
class extent_check : public nlohmann::json_sax<json> {
public:
    bool too_deep() const { return depth_ > depth_limit; }
    bool too_many() const { return values_ > value_limit; }

    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, const string_t&) override {
        return count();
    }
    bool string(string_t&) override { return count(); }
    bool binary(binary_t&) override { return count(); }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return open(); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override {
        return false;
    }

private:
    bool count() {
        ++values_;
        return !too_many();
    }
    bool open() {
        ++depth_;
        return count() && !too_deep();
    }
    bool close() {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
    std::size_t values_ = 0;
};

[[noreturn]] void refuse(const std::string& expected) {
    throw json::other_error::create(bad_value, "expected " + expected, nullptr);
}

} // namespace

json parse_cbor(const std::uint8_t* bytes, std::size_t size) {
    extent_check check;
    json::sax_parse(bytes, bytes + size, &check, json::input_format_t::cbor);
    if (check.too_deep()) {
        refuse("at most " + std::to_string(depth_limit) + " levels of nesting");
    }
    if (check.too_many()) {
        refuse("at most " + std::to_string(value_limit) + " values");
    }
    return json::from_cbor(bytes, bytes + size);
}

std::uint64_t read_unsigned(const json& from, std::uint64_t most) {
    if (!from.is_number_unsigned() || from.get<std::uint64_t>() > most) {
        refuse("a whole number from 0 to " + std::to_string(most));
    }
    return from.get<std::uint64_t>();
}

duration read_wait(const json& from) {
    return duration(
        read_unsigned(from, static_cast<std::uint64_t>(wait_limit.count())));
}

std::int64_t read_age(const json& from) {
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    const bool negative =
        from.is_number_integer() && !from.is_number_unsigned();
    return negative ? 0
                    : static_cast<std::int64_t>(read_unsigned(
                          from, static_cast<std::uint64_t>(most)));
}

duration read_urgency(const json& from) {
    const bool negative =
        from.is_number_integer() && !from.is_number_unsigned();
    return negative ? std::max(duration(from.get<std::int64_t>()), -wait_limit)
                    : read_wait(from);
}

double read_factor(const json& from) {
    constexpr double least = 0.01;
    constexpr double most = 100.;
    const double factor = from.is_number() ? from.get<double>() : 0.;
    if (!(factor >= least && factor <= most)) {
        refuse("a factor from 0.01 to 100");
    }
    return factor;
}

double read_rate(const json& from) {
    constexpr double most = 1e9;
    const double rate = from.is_number() ? from.get<double>() : -1.;
    if (!(rate >= 0 && rate <= most)) {
        refuse("a rate from 0 to 1e9");
    }
    return rate;
}

const json& read_list(const json& from, std::size_t most) {
    if (!from.is_array() || from.size() > most) {
        refuse("a list of at most " + std::to_string(most) + " items");
    }
    return from;
}

} // namespace waxwingvale::io
