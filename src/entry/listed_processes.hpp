#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/decision/crash_record.hpp>
#include <waxwingvale/decision/server_sign.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::entry {

// Follows which processes of backend servers are registered, and tells what
// changes there say of them.
class listed_processes {
public:
    struct change {
        decision::backend_process process;
        decision::server_sign sign = decision::server_sign::none;
    };

    // A newer view. A server that had said that it leaves, or to which the
    // operator wants nothing sent, shows nothing by being missing.
    std::vector<change> follow(const view& now);

private:
    struct listed {
        std::uint64_t incarnation = 0;
        std::string host;
        std::uint16_t port = 0;
    };
    using listing = std::map<std::string, listed>; // by name

    void note_leaving(const view& now);
    std::vector<change> compare(const listing& now, const view& with) const;

    configuration_ptr config_;
    listing listed_;
    std::set<std::string> leaving_; // have said that they leave
    listing gone_;                  // without having said so
};

} // namespace waxwingvale::entry
