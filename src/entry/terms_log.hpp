#pragma once

#include <map>
#include <set>
#include <string>

#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/backend_terms.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Logs the terms that backend servers state in their answers, and once a second
// how much this instance has sent to each server that names a limit.
class terms_log {
public:
    terms_log(kernel::timer_service& timers, program::counter named,
              program::gauge limited, program::counter rests)
        : timers_(timers), named_(named), limited_(limited), rests_(rests) {}

    // An answer of the server to a request, or to a probe, stated these terms.
    // Not all servers name their limit to probes, so that these end none.
    void record_terms(const std::string& backend_server,
                      const backend_terms& terms, belief_source source);
    void record_request(const std::string& backend_server);
    void record_probe(const std::string& backend_server);
    // Drops the servers that the configuration no longer names.
    void retain(const configuration& config);

private:
    struct limited_server {
        double requests_per_second = 0;
        unsigned requests = 0; // sent since the last line
        unsigned probes = 0;
    };

    void record_limit(const std::string& backend_server, double limit);
    void end_limit(const std::string& backend_server);
    void record_leaving(const std::string& backend_server);
    void record_rest(const std::string& backend_server, duration rest);
    void follow_count();
    void write_lines();

    kernel::timer_service& timers_;
    program::counter named_;
    program::gauge limited_;
    program::counter rests_;
    std::map<std::string, limited_server> servers_; // by name
    std::set<std::string> leaving_;
    std::map<std::string, time_point> rest_ends_; // by server
    kernel::timer_service::subscription writing_; // while there are any
};

} // namespace waxwingvale::entry
