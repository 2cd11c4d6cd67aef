#pragma once

#include <fstream>
#include <string>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

#include "waxwing_load/call_tally.hpp"

namespace waxwingvale::load {

// What a history tells of one call.
struct history_call {
    std::string request; // its id
    std::string key;     // empty for reads
    bool write = false;
};

// Writes what callers asked and how they were answered as JSON lines, for the
// history checker.
class history_writer {
public:
    // Appends to the file; an empty name writes nothing.
    result<void> open(const std::string& file_name);
    void invoke(time_point now, const history_call& call);
    // One answer to one attempt; status 0 when none came.
    void attempt(time_point now, const history_call& call, unsigned status,
                 const std::string& outcome);
    void end(time_point now, const history_call& call, call_end how);

private:
    std::ofstream file_;
};

} // namespace waxwingvale::load
