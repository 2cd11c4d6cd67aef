#include "entry/listed_processes.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace waxwingvale::entry {

namespace {

using decision::server_sign;
using endpoint = std::pair<std::string, std::uint16_t>;

// Enough for a failed data centre; who is not remembered as gone tells nothing
// by coming back.
constexpr std::size_t most_gone = 1024;

bool is_evacuated(const view& now, const std::string& backend_server) {
    return std::any_of(
        now.evacuated_servers.begin(), now.evacuated_servers.end(),
        [&](const auto& each) { return each.name == backend_server; });
}

} // namespace

std::vector<listed_processes::change>
listed_processes::follow(const view& now) {
    note_leaving(now);
    if (!now.config || now.config == config_) {
        return {};
    }
    config_ = now.config;
    listing current;
    for (const auto& of : now.config->services) {
        for (const auto& server : of.backend_servers) {
            current[server.name] = {server.incarnation, server.host,
                                    server.port};
        }
    }
    auto changes = compare(current, now);
    for (const auto& each : changes) {
        const auto& name = each.process.backend_server;
        if (each.sign != server_sign::unlisted) {
            gone_.erase(name);
        } else if (gone_.size() < most_gone) {
            gone_.insert(*listed_.find(name));
        }
    }
    listed_ = std::move(current);
    for (auto at = leaving_.begin(); at != leaving_.end();) {
        at = listed_.count(*at) == 0 ? leaving_.erase(at) : std::next(at);
    }
    return changes;
}

// The word of a server that leaves goes with its entry.
void listed_processes::note_leaving(const view& now) {
    for (const auto& belief : now.beliefs) {
        if (belief.state == backend_state::leaving) {
            leaving_.insert(belief.backend_server);
        }
    }
}

std::vector<listed_processes::change>
listed_processes::compare(const listing& now, const view& with) const {
    std::set<endpoint> taken;
    std::vector<change> changes;
    for (const auto& [name, server] : now) {
        const auto former = listed_.find(name);
        if (former == listed_.end()) {
            taken.insert({server.host, server.port});
        }
        const auto gone = gone_.find(name);
        if (gone != gone_.end() &&
            gone->second.incarnation == server.incarnation) {
            changes.push_back(
                {{name, server.incarnation}, server_sign::answered});
        }
        if (former != listed_.end() &&
            former->second.incarnation < server.incarnation) {
            changes.push_back(
                {{name, former->second.incarnation}, server_sign::replaced});
        }
    }
    const auto tell = [&](const listing::value_type& each, server_sign sign) {
        changes.push_back({{each.first, each.second.incarnation}, sign});
    };
    for (const auto& each : listed_) {
        const bool missing = now.count(each.first) == 0;
        const bool replaced =
            taken.count({each.second.host, each.second.port}) != 0;
        if (replaced) {
            tell(each, server_sign::replaced);
        } else if (missing && leaving_.count(each.first) == 0 &&
                   !is_evacuated(with, each.first)) {
            tell(each, server_sign::unlisted);
        }
    }
    for (const auto& each : gone_) {
        const bool back = now.count(each.first) != 0;
        if (!back && taken.count({each.second.host, each.second.port}) != 0) {
            tell(each, server_sign::replaced);
        }
    }
    return changes;
}

} // namespace waxwingvale::entry
