#pragma once

#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

namespace waxwingvale::standin {

// Appends events to a file of JSON lines, each flushed before the process goes
// on, so that a process that is killed leaves all it did.
class history_file {
public:
    // An empty name writes nothing.
    explicit history_file(const std::string& name);
    // Adds the time to the event: microseconds of the machine's monotonic
    // clock, which the processes of one machine share.
    void write(nlohmann::json event);

private:
    std::ofstream file_;
};

} // namespace waxwingvale::standin
