#include "entry/terms_log.hpp"

#include <algorithm>
#include <set>
#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

namespace {

constexpr duration line_period = std::chrono::seconds(1);

void log_limit(const std::string& backend_server, const std::string& limit) {
    program::log_change(
        "backend_server_limit",
        {{"backend_server", backend_server}, {"requests_per_second", limit}});
}

std::set<std::string> names_of(const configuration& config) {
    std::set<std::string> names;
    for (const auto& of : config.services) {
        for (const auto& server : of.backend_servers) {
            names.insert(server.name);
        }
    }
    return names;
}

// Erases the entries of servers that are not among the names.
template <typename Entries, typename Name>
void erase_others(Entries& entries, const std::set<std::string>& names,
                  Name name_of) {
    for (auto each = entries.begin(); each != entries.end();) {
        const bool gone = names.count(name_of(*each)) == 0;
        each = gone ? entries.erase(each) : std::next(each);
    }
}

} // namespace

void terms_log::record_terms(const std::string& backend_server,
                             const backend_terms& terms, belief_source source) {
    if (terms.requests_per_second) {
        record_limit(backend_server, *terms.requests_per_second);
    } else if (source == belief_source::traffic) {
        end_limit(backend_server);
    }
    if (terms.leaving) {
        record_leaving(backend_server);
    }
    if (terms.rest) {
        record_rest(backend_server, *terms.rest);
    }
}

void terms_log::record_limit(const std::string& backend_server, double limit) {
    named_.add();
    const auto known = servers_.find(backend_server);
    const bool is_new = known == servers_.end();
    if (!is_new && known->second.requests_per_second == limit) {
        return;
    }
    servers_[backend_server].requests_per_second = limit;
    log_limit(backend_server, std::to_string(limit));
    if (is_new) {
        follow_count();
    }
}

// A server that leaves says so in every answer; the first one is enough.
void terms_log::record_leaving(const std::string& backend_server) {
    if (leaving_.insert(backend_server).second) {
        program::log_change("backend_server_says_leaving",
                            {{"backend_server", backend_server}});
    }
}

// One line for each time of rest, and none for requests that were under way or
// are sent in it.
void terms_log::record_rest(const std::string& backend_server, duration rest) {
    rests_.add();
    const auto now = timers_.now();
    auto& end = rest_ends_[backend_server];
    if (now >= end) {
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(rest);
        program::log_change(
            "backend_server_asks_for_rest",
            {{"backend_server", backend_server},
             {"rest_ms", std::to_string(milliseconds.count())}});
    }
    end = std::max(end, now + rest);
}

void terms_log::end_limit(const std::string& backend_server) {
    if (servers_.erase(backend_server) != 0) {
        log_limit(backend_server, "none");
        follow_count();
    }
}

void terms_log::record_request(const std::string& backend_server) {
    const auto known = servers_.find(backend_server);
    if (known != servers_.end()) {
        ++known->second.requests;
    }
}

void terms_log::record_probe(const std::string& backend_server) {
    const auto known = servers_.find(backend_server);
    if (known != servers_.end()) {
        ++known->second.probes;
    }
}

void terms_log::retain(const configuration& config) {
    if (servers_.empty() && leaving_.empty() && rest_ends_.empty()) {
        return;
    }
    const auto names = names_of(config);
    erase_others(servers_, names, [](const auto& each) { return each.first; });
    erase_others(leaving_, names, [](const auto& each) { return each; });
    erase_others(rest_ends_, names,
                 [](const auto& each) { return each.first; });
    follow_count();
}

void terms_log::follow_count() {
    limited_.set(static_cast<double>(servers_.size()));
    if (servers_.empty()) {
        writing_.cancel();
    } else if (servers_.size() == 1) {
        writing_ =
            timers_.every(line_period, [this](time_point) { write_lines(); });
    }
}

void terms_log::write_lines() {
    for (auto& [name, server] : servers_) {
        if (server.requests == 0 && server.probes == 0) {
            continue;
        }
        program::log_change("limited_backend_server_sent",
                            {{"backend_server", name},
                             {"requests_per_second",
                              std::to_string(server.requests_per_second)},
                             {"requests", std::to_string(server.requests)},
                             {"probes", std::to_string(server.probes)}});
        server.requests = 0;
        server.probes = 0;
    }
}

} // namespace waxwingvale::entry
