#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/model/configuration.hpp>

namespace waxwingvale::entry {

// Tells which backend servers have started again under the name that they had.
// Connections to the former process are then of no use: one that broke behind a
// partition looks open until something is sent on it and no answer comes.
class server_starts {
public:
    // The servers that are known now; names those that have started again since
    // the last time.
    std::vector<std::string> follow(const configuration& now);

private:
    std::unordered_map<std::string, backend_incarnation> known_;
};

} // namespace waxwingvale::entry
