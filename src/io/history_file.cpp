#include <waxwingvale/io/history_file.hpp>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace waxwingvale::io {
namespace {

using nlohmann::json;
namespace history_events = waxwingvale::decision;
using event_kind = history_events::history_event_payload;

constexpr const char* step = "read history";

// A field that is missing or has a value that no event has; tells which.
struct bad_field : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <typename Value>
Value field(const json& line, const char* name) {
    const auto found = line.find(name);
    if (found == line.end()) {
        throw bad_field(std::string(name) + " is missing");
    }
    try {
        return found->get<Value>();
    } catch (const json::exception&) {
        throw bad_field(std::string(name) + " has the wrong type");
    }
}

template <typename Value>
Value field_or(const json& line, const char* name, Value otherwise) {
    return line.contains(name) ? field<Value>(line, name) : otherwise;
}

std::string text_or_empty(const json& line, const char* name) {
    return field_or<std::string>(line, name, "");
}

time_point time_of(std::int64_t micros) {
    return time_point(duration(micros));
}

std::optional<run_outcome> outcome_of(const json& line) {
    const auto text = text_or_empty(line, "outcome");
    for (const auto known :
         {run_outcome::ran, run_outcome::not_run, run_outcome::unknown}) {
        if (text == to_string(known)) {
            return known;
        }
    }
    if (!text.empty()) {
        throw bad_field("outcome is none of ran, not-run, unknown");
    }
    return std::nullopt;
}

history_events::run_end_reason ending_of(const json& line) {
    using history_events::run_end_reason;
    static const std::map<std::string, run_end_reason> endings{
        {"answered", run_end_reason::answered},
        {"cancelled", run_end_reason::cancelled},
        {"expired", run_end_reason::expired},
        {"failed", run_end_reason::failed}};
    const auto found = endings.find(field<std::string>(line, "how"));
    if (found == endings.end()) {
        throw bad_field("how is none of answered, cancelled, expired, failed");
    }
    return found->second;
}

history_events::backend_process backend_of(const json& line) {
    return {field<std::string>(line, "backend_server"),
            field_or<std::uint64_t>(line, "incarnation", 0)};
}

event_kind read_invoke(const json& line) {
    const bool once = field<bool>(line, "at_most_once");
    return history_events::request_invoked{
        field<std::string>(line, "request"), text_or_empty(line, "key"),
        once ? request_nature::at_most_once : request_nature::retriable};
}

event_kind read_answer(const json& line) {
    history_events::request_answered answer;
    answer.request = field<std::string>(line, "request");
    answer.key = text_or_empty(line, "key");
    answer.status = field<unsigned>(line, "status");
    answer.outcome = outcome_of(line);
    answer.body_digest = text_or_empty(line, "body_digest");
    answer.via = text_or_empty(line, "via");
    if (line.contains("sent_us")) {
        answer.sent = time_of(field<std::int64_t>(line, "sent_us"));
    }
    return answer;
}

event_kind read_run_begin(const json& line) {
    return history_events::run_began{backend_of(line),
                                     field<std::string>(line, "request"),
                                     text_or_empty(line, "key")};
}

event_kind read_run_end(const json& line) {
    return history_events::run_ended{
        backend_of(line), field<std::string>(line, "request"),
        text_or_empty(line, "key"), ending_of(line),
        text_or_empty(line, "body_digest")};
}

template <typename Event>
event_kind read_backend_event(const json& line) {
    return Event{backend_of(line)};
}

template <typename Event>
event_kind read_entry_event(const json& line) {
    return Event{field<std::string>(line, "who")};
}

event_kind read_published(const json& line) {
    return history_events::revision_published{
        field<std::uint64_t>(line, "revision")};
}

event_kind read_in_force(const json& line) {
    return history_events::revision_in_force{
        field<std::string>(line, "who"),
        field<std::uint64_t>(line, "revision")};
}

using line_reader = event_kind (*)(const json&);

const std::map<std::string, line_reader>& line_readers() {
    using namespace history_events;
    static const std::map<std::string, line_reader> readers{
        {"invoke", read_invoke},
        {"answer", read_answer},
        {"run_begin", read_run_begin},
        {"run_end", read_run_end},
        {"refused_leaving", read_backend_event<work_refused>},
        {"leaving", read_backend_event<backend_leaving>},
        {"stopped", read_backend_event<backend_stopped>},
        {"probe", read_backend_event<backend_probed>},
        {"entry_stopping", read_entry_event<entry_stopping>},
        {"entry_stopped", read_entry_event<entry_stopped>},
        {"published", read_published},
        {"in_force", read_in_force}};
    return readers;
}

void add_line(const std::string& text, history_file& file) {
    const auto line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
        throw bad_field("the line is not a JSON object");
    }
    const auto event = field<std::string>(line, "event");
    const auto reader = line_readers().find(event);
    if (reader == line_readers().end()) {
        ++file.skipped[event];
        return;
    }
    const auto at = time_of(field<std::int64_t>(line, "at_us"));
    file.events.push_back({at, reader->second(line)});
}

} // namespace

result<history_file> parse_history(const std::string& text,
                                   const std::string& name) {
    history_file file;
    std::istringstream lines(text);
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (lines.eof()) {
            ++file.skipped["(cut off)"];
            break;
        }
        if (line.empty()) {
            continue;
        }
        try {
            add_line(line, file);
        } catch (const bad_field& problem) {
            return error{error_code::malformed, step,
                         name + ':' + std::to_string(number), problem.what()};
        }
    }
    return file;
}

result<history_file> read_history_file(const std::string& name) {
    std::ifstream opened(name, std::ios::binary);
    std::ostringstream text;
    if (!opened || !(text << opened.rdbuf())) {
        return error{error_code::not_found, step, name, "cannot be read"};
    }
    return parse_history(text.str(), name);
}

} // namespace waxwingvale::io
