#include <waxwingvale/program/state_log.hpp>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace waxwingvale::program {

namespace {

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

} // namespace

void start_log(const std::string& program) {
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level "
                         "program=" +
                             program + " %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", settings);
    // The library writes to standard output only; standard output belongs to
    // what a program prints for its user, so lines are sent on by hand.
    class to_standard_error : public el::LogDispatchCallback {
        void handle(const el::LogDispatchData* data) override {
            const auto line = data->logMessage()->logger()->logBuilder()->build(
                data->logMessage(), true);
            std::fwrite(line.data(), 1, line.size(), stderr);
        }
    };
    el::Helpers::installLogDispatchCallback<to_standard_error>("stderr");
}

void log_change(std::string_view event,
                std::initializer_list<log_field> fields) {
    LOG(INFO) << render(event, fields);
}

void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields) {
    LOG(WARNING) << render(event, fields);
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
