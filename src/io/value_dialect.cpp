#include <waxwingvale/io/platform_dialect.hpp>

#include <charconv>
#include <optional>

namespace waxwingvale::io {

namespace {

constexpr const char* step = "read platform";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
constexpr unsigned first_server_error = 500;

std::optional<std::uint64_t> revision_in(const http_response& response) {
    const auto* text = find_header(response.headers, "Revision");
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t revision = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return revision;
}

// The revision of an answer that tells the value, or that it is unchanged.
result<std::uint64_t> understood(const std::string& topic,
                                 const http_response& answer) {
    if (answer.status == status_not_found) {
        return error{error_code::not_found, step, topic, "not published"};
    }
    const auto revision = revision_in(answer);
    const bool known =
        answer.status == status_ok || answer.status == status_not_modified;
    if (known && revision) {
        return *revision;
    }
    const auto code = answer.status >= first_server_error
                          ? error_code::unavailable
                          : error_code::malformed;
    return error{code, step, topic,
                 "status " + std::to_string(answer.status) +
                     (revision ? "" : ", no revision")};
}

} // namespace

std::string value_dialect::list_target(const std::string& topic,
                                       const std::string&) const {
    return "/v1/values/" + topic;
}

std::string value_dialect::watch_target(const std::string& topic,
                                        std::uint64_t revision,
                                        duration wait) const {
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "/v1/values/" + topic + "?after=" + std::to_string(revision) +
           "&wait_ms=" + std::to_string(wait_ms);
}

result<published_page>
value_dialect::read_list(const std::string& topic,
                         const http_response& answer) const {
    const auto revision = understood(topic, answer);
    if (!revision) {
        return revision.error();
    }
    published_page page;
    page.items.push_back({topic, answer.body, revision.value(), {}});
    page.revision = revision.value();
    return page;
}

result<published_changes>
value_dialect::read_watch(const std::string& topic, std::uint64_t,
                          const http_response& answer) const {
    const auto revision = understood(topic, answer);
    if (!revision) {
        return revision.error();
    }
    published_changes changes;
    // What the platform has now, also when that is older than what it had:
    // asked for changes after a revision that it has lost it would answer at
    // once, again and again.
    changes.revision = revision.value();
    if (answer.status == status_ok) {
        changes.changes.push_back(
            {{topic, answer.body, revision.value(), {}}, false});
    }
    return changes;
}

} // namespace waxwingvale::io
