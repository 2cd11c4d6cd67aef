#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <waxwingvale/decision/history.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

// A history as files tell it.
struct history_file {
    decision::history events;
    // Lines of events that the checker has no rule for, by event name.
    std::map<std::string, std::size_t> skipped;
};

// Reads one event for each line of JSON. `name` names the source in errors,
// which tell the line and the field. A last line without its end, which a
// killed process may leave, is skipped as "(cut off)".
result<history_file> parse_history(const std::string& text,
                                   const std::string& name);

// Reads a file whole.
result<history_file> read_history_file(const std::string& name);

} // namespace waxwingvale::io
