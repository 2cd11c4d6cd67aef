#include <set>
#include <utility>

#include "model/document_path.hpp"
#include "model/document_reader.hpp"

namespace waxwingvale {

namespace {

using nlohmann::json;

constexpr std::size_t problem_limit = 50; // errors told of one document
constexpr std::size_t depth_limit = 16;   // containers within one another

// Leaves the parser when a document is nested too deeply. The path of each
// level is as long as all levels above it: a file of brackets only would take
// memory with the square of its depth.
struct nested_too_deeply {};

// Follows the parser through the document to find fields named twice.
class duplicate_finder {
public:
    explicit duplicate_finder(document_problems& problems)
        : problems_(problems) {}

    void follow(json::parse_event_t event, const json& parsed) {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            if (open_.size() == depth_limit) {
                throw nested_too_deeply();
            }
            open_.push_back({path_here(), {}, {}, 0});
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_.pop_back();
            count_element();
            break;
        case json::parse_event_t::key:
            take_key(parsed.get_ref<const std::string&>());
            break;
        case json::parse_event_t::value:
            count_element();
            break;
        }
    }

private:
    struct container {
        std::string path;
        std::set<std::string> keys;
        std::string current_key;
        std::size_t index;
    };

    std::string path_here() const {
        if (open_.empty()) {
            return "";
        }
        const auto& inner = open_.back();
        return inner.keys.empty() ? element_path(inner.path, inner.index)
                                  : join(inner.path, inner.current_key);
    }

    void take_key(const std::string& key) {
        auto& inner = open_.back();
        inner.current_key = key;
        if (!inner.keys.insert(key).second) {
            problems_.add(path_here(), "expected once in this object, found "
                                       "more than once");
        }
    }

    void count_element() {
        if (!open_.empty()) {
            ++open_.back().index;
        }
    }

    document_problems& problems_;
    std::vector<container> open_;
};

} // namespace

document_problems::document_problems(std::string step, std::string file_name)
    : step_(std::move(step)), file_name_(std::move(file_name)) {}

void document_problems::add(const std::string& path,
                            const std::string& detail) {
    if (errors_.size() < problem_limit) {
        const std::string where = path.empty() ? "the document" : path;
        errors_.push_back({error_code::invalid_argument, step_, file_name_,
                           where + ": " + detail});
    }
}

void document_problems::add_syntax(const std::string& detail) {
    errors_.push_back({error_code::malformed, step_, file_name_, detail});
}

nlohmann::json parse_document(std::string_view text, std::size_t size_limit,
                              document_problems& problems) {
    if (text.size() > size_limit) {
        problems.add_syntax("expected at most " + std::to_string(size_limit) +
                            " bytes, found " + std::to_string(text.size()));
        return nullptr;
    }
    duplicate_finder duplicates(problems);
    const auto follow = [&](int, json::parse_event_t event, json& parsed) {
        duplicates.follow(event, parsed);
        return true;
    };
    constexpr bool throw_errors = true;
    constexpr bool ignore_comments = true;
    try {
        auto parsed = json::parse(text.begin(), text.end(), follow,
                                  throw_errors, ignore_comments);
        if (!problems.empty()) {
            return nullptr;
        }
        return parsed;
    } catch (const nested_too_deeply&) {
        problems.add_syntax("expected at most " + std::to_string(depth_limit) +
                            " levels of nesting");
        return nullptr;
    } catch (const json::exception& failure) {
        // The library's text begins with its own error number.
        const std::string told = failure.what();
        const auto number_end = told.find("] ");
        problems.add_syntax(
            number_end == told.npos ? told : told.substr(number_end + 2));
        return nullptr;
    }
}

} // namespace waxwingvale
