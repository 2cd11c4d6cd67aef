#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::program {

// One key and value of a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

// Prepares logging for this process: lines go to standard output, each as
// `time=… level=info program=NAME instance=NAME event=EVENT key=value …`.
// Call once in main. Writing never waits; see log_writer.
void start_log(const std::string& program, const std::string& instance);

// A line for a change of state, handed on at once.
void log_change(std::string_view event,
                std::initializer_list<log_field> fields = {});

// A line for a change that an operator should look at.
void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields = {});

// One decision of several that are logged together.
struct log_detail {
    std::string_view event;
    duration age{};     // how long ago it was made
    std::string fields; // as key=value, parted by spaces
};

// Lines for decisions that touch one request, all or none of them. They wait
// for flush_log(). `common` stands in each of them.
void log_details(const std::string& common,
                 const std::vector<log_detail>& decisions);
void flush_log();

// Lines that were dropped since the process started.
std::uint64_t dropped_log_lines();

// Values with spaces, quotes or '=' are quoted so that a line splits exactly.
std::string quote_log_value(const std::string& value);

} // namespace waxwingvale::program
