#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwingvale::program {

// One key and value of a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

// Prepares logging for this process: lines go to standard error, each as
// `time=… level=info program=NAME event=EVENT key=value …`. Call once in main.
void start_log(const std::string& program);

// A line for a change of state; what happens often is counted instead.
void log_change(std::string_view event,
                std::initializer_list<log_field> fields = {});

// A line for a change that an operator should look at.
void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields = {});

// Values with spaces, quotes or '=' are quoted so that a line splits exactly.
std::string quote_log_value(const std::string& value);

} // namespace waxwingvale::program
