#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale {

// What is wrong with one document: each problem names the file, the path of
// the field, and what was expected there.
class document_problems {
public:
    document_problems(std::string step, std::string file_name);

    void add(const std::string& path, const std::string& detail);
    void add_syntax(const std::string& detail);
    const std::vector<error>& errors() const { return errors_; }
    bool empty() const { return errors_.empty(); }

private:
    std::string step_;
    std::string file_name_;
    std::vector<error> errors_;
};

// Parses JSON with comments. A problem is added, and null returned, when it is
// too large, not JSON, or names a field twice in one object: of two values
// the library would silently keep the last.
nlohmann::json parse_document(std::string_view text, std::size_t size_limit,
                              document_problems& problems);

// The whole numbers a field accepts, both ends included.
struct number_range {
    std::uint64_t least;
    std::uint64_t most;
};

// The fractions a field accepts, both ends included.
struct fraction_range {
    double least;
    double most;
};

// Where something listens.
struct ip_endpoint {
    std::string host;
    std::uint16_t port = 0;
};

// The endpoint that a text such as 127.0.0.1:7180 names.
std::optional<ip_endpoint> parse_endpoint(const std::string& text);

// A word that a field accepts and the value that it stands for.
template <typename Value>
struct word_meaning {
    const char* word;
    Value value;
};

// Reads the fields of one JSON object. It records each field asked for, so
// that finish() can name those that nobody knows. After a problem the readers
// return a harmless value and go on, so that all problems are found at once.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string path,
                  document_problems& problems);

    bool has(const char* name) const;
    std::string path_of(std::string_view name) const;
    const std::string& path() const { return path_; }

    // A name: lower-case letters, digits and '-', as in a DNS label.
    std::string name(const char* field);
    std::string name_or(const char* field, const std::string& otherwise);
    // Any text that is not empty.
    std::string text(const char* field);
    std::string text_or(const char* field, const std::string& otherwise);
    // An IP number such as 127.0.0.1.
    std::string ip_number(const char* field);
    std::string ip_number_or(const char* field, const std::string& otherwise);

    // An IP number and a port, such as 127.0.0.1:7180.
    ip_endpoint endpoint(const char* field);

    std::uint64_t number(const char* field, number_range range);
    std::uint64_t number_or(const char* field, number_range range,
                            std::uint64_t otherwise);
    double fraction_or(const char* field, fraction_range range,
                       double otherwise);
    bool flag_or(const char* field, bool otherwise);
    duration milliseconds(const char* field, number_range range);
    duration milliseconds_or(const char* field, number_range range,
                             duration otherwise);

    template <typename Value, std::size_t Count>
    Value word(const char* field, const word_meaning<Value> (&known)[Count]) {
        const std::string found = text(field);
        std::string expected;
        for (const auto& candidate : known) {
            if (found == candidate.word) {
                return candidate.value;
            }
            expected += expected.empty() ? "" : " or ";
            expected += candidate.word;
        }
        if (!found.empty()) {
            complain(field,
                     "expected " + expected + ", found " + quoted(found));
        }
        return known[0].value;
    }

    // An object; when it is absent the reader returned is of an empty one.
    object_reader object_or_empty(const char* field);
    object_reader object(const char* field);
    // The objects of an array of `least` to `most`.
    std::vector<object_reader> objects(const char* field, number_range count);
    std::vector<object_reader> objects_or_none(const char* field,
                                               number_range count);
    // The texts of an array.
    std::vector<std::string> texts(const char* field, number_range count);
    std::vector<std::string> texts_or_none(const char* field,
                                           number_range count);

    void complain(std::string_view field, const std::string& detail);
    // The same for a path below this object, such as "methods[1]".
    void complain_at(const std::string& below, const std::string& detail);
    // A text as errors show it.
    static std::string quoted(const std::string& text);
    // Complains about every field that was not asked for.
    void finish();

private:
    const nlohmann::json* find(const char* field);
    const nlohmann::json* require(const char* field, const char* expected);
    const nlohmann::json* array(const char* field, number_range count);
    std::string name_in(const char* field, const nlohmann::json* value);
    std::string text_in(const char* field, const nlohmann::json* value);
    std::string ip_number_in(const char* field, const nlohmann::json* value);
    std::uint64_t number_in(const char* field, const nlohmann::json* value,
                            number_range range);
    void complain_of(const char* field, const std::string& expected,
                     const nlohmann::json& found);

    const nlohmann::json* value_;
    std::string path_;
    document_problems* problems_;
    std::set<std::string> asked_for_;
};

} // namespace waxwingvale
