#include <waxwingvale/program/state_log.hpp>

#include <chrono>
#include <ctime>
#include <easylogging++.h>
#include <unistd.h>

#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/program/log_writer.hpp>

INITIALIZE_EASYLOGGINGPP

namespace waxwingvale::program {

namespace {

// Where the lines of this process go.
struct process_log {
    kernel::monotonic_clock clock;
    log_writer writer{STDOUT_FILENO, {}};
    std::string origin;     // fields of each line that name the process
    std::string_view event; // of the line that the library formats now
};

process_log& log_of_process() {
    static process_log log;
    return log;
}

std::string render(std::string_view event,
                   std::initializer_list<log_field> fields) {
    std::string line = "event=";
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += quote_log_value(field.value);
    }
    return line;
}

// The library formats and writes to standard output by itself, waiting for its
// reader; its lines are taken over here.
class to_log_writer : public el::LogDispatchCallback {
    void handle(const el::LogDispatchData* data) override {
        auto& log = log_of_process();
        log.writer.add(data->logMessage()->logger()->logBuilder()->build(
                           data->logMessage(), true),
                       log_weight::change, log.clock.now(), log.event);
        log.writer.flush();
    }
};

// The time of day in milliseconds, as the library writes it.
std::string time_text(std::chrono::system_clock::time_point when) {
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            when.time_since_epoch())
            .count();
    constexpr int milliseconds_per_second = 1000;
    const auto seconds =
        static_cast<std::time_t>(since_epoch / milliseconds_per_second);
    std::tm parts{};
    ::localtime_r(&seconds, &parts);
    char text[48];
    const auto size =
        std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + size, sizeof text - size, ".%03d",
                  static_cast<int>(since_epoch % milliseconds_per_second));
    return text;
}

} // namespace

void start_log(const std::string& program, const std::string& instance) {
    auto& log = log_of_process();
    log.origin = "program=" + program + " instance=" + instance;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level " +
                             log.origin + " %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", settings);
    el::Helpers::installLogDispatchCallback<to_log_writer>("log_writer");
}

void log_change(std::string_view event,
                std::initializer_list<log_field> fields) {
    log_of_process().event = event;
    LOG(INFO) << render(event, fields);
}

void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields) {
    log_of_process().event = event;
    LOG(WARNING) << render(event, fields);
}

// Not by way of the library: it takes the time of day for each line, and these
// were decided earlier than they are written.
void log_details(const std::string& common,
                 const std::vector<log_detail>& decisions) {
    auto& log = log_of_process();
    const auto wall_now = std::chrono::system_clock::now();
    std::string lines;
    for (const auto& each : decisions) {
        lines += "time=" + time_text(wall_now - each.age) + " level=INFO " +
                 log.origin + " event=";
        lines += each.event;
        lines += ' ' + common;
        if (!each.fields.empty()) {
            lines += ' ' + each.fields;
        }
        lines += '\n';
    }
    log.writer.add(lines, log_weight::detail, log.clock.now());
}

void flush_log() {
    log_of_process().writer.flush();
}

std::uint64_t dropped_log_lines() {
    return log_of_process().writer.dropped_lines();
}

std::string quote_log_value(const std::string& value) {
    const bool plain =
        !value.empty() && value.find_first_of(" \t\r\n\"=") == value.npos;
    if (plain) {
        return value;
    }
    std::string quoted = "\"";
    for (const char c : value) {
        if (c == '\n') {
            quoted += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += c;
    }
    return quoted + '"';
}

} // namespace waxwingvale::program
