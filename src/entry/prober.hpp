#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/decision/probe_budget.hpp>
#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/program/metrics.hpp>
#include <waxwingvale/program/view_published.hpp>

#include "entry/reach_watch.hpp"

namespace waxwingvale::entry {

// Connects the prober with the schedulers of the services, which decide what to
// probe and learn from the answers.
class probe_outlet {
public:
    virtual ~probe_outlet() = default;
    // Backend servers whose last load report is too old to choose slots by.
    virtual std::vector<std::string>
    servers_to_probe(const std::string& service) = 0;
    // Whether the terms that the backend server has stated allow a probe now.
    virtual bool may_probe(const std::string& service,
                           const std::string& backend_server) = 0;
    virtual void on_probe_sent(const std::string& service,
                               const std::string& backend_server) = 0;
    // `sent` is when the probe was.
    virtual void on_probe(const std::string& service,
                          const std::string& backend_server, time_point sent,
                          const backend_answer& answer) = 0;
};

// Sends health checks to the backend servers that this instance owns, within
// the probe budget of the configuration. They show what no request shows: that
// a dead server is back, that a server without requests leaves, and which
// servers are slowed down at present.
class prober {
public:
    prober(std::string self, const request_protocol& protocol,
           kernel::timer_service& timers, forwarding::backend_pool& pool,
           program::counter probes, reach_watch& reach, probe_outlet& outlet);

    void take(const program::view_published& published);
    // How many entry instances this one has a link to.
    void change_links(std::size_t links);

private:
    struct owned_server {
        backend_server at;
        time_point last{}; // probe of it
    };
    struct service_probes {
        explicit service_probes(const decision::probe_limits& limits)
            : budget(limits) {}
        decision::probe_budget budget;
        std::unordered_map<std::string, owned_server> owned; // by name
    };

    // A probe of one start of a backend server.
    struct sent_probe {
        std::string server;
        backend_incarnation start = 0;
        time_point at{};
    };

    struct open_probe {
        time_point sent{};
        kernel::timer_service::subscription limit;
    };

    void follow(const service& of, const decision::ownership& owners,
                time_point now);
    void update_share(time_point now);
    void tick_while_owning();
    void probe_due(time_point now);
    void probe_due(const service& of, bool idle_ones, time_point now);
    void probe(const service& of, owned_server& server, time_point now);
    void send_probe(const service& of, const backend_server& to);
    void take_result(const std::string& service, const sent_probe& probe,
                     const forwarding::backend_result& ended);
    void settle(const std::string& service, const sent_probe& probe,
                const forwarding::backend_result& ended,
                decision::failure_meaning meaning);
    void give_up(const std::string& service, const sent_probe& probe);
    void settle_silent(const std::string& service, const sent_probe& probe,
                       decision::failure_meaning meaning);
    bool is_open(const sent_probe& probe) const;
    void end_probe(std::string service, sent_probe ended,
                   backend_answer answer);

    std::string self_;
    const request_protocol& protocol_;
    kernel::timer_service& timers_;
    forwarding::backend_pool& pool_;
    program::counter probes_;
    reach_watch& reach_;
    probe_outlet& outlet_;
    view_ptr view_;
    std::size_t links_ = 0;
    std::map<std::string, service_probes> services_;
    // Probes under way, by backend server, and when they are given up.
    std::map<std::string, open_probe> open_;
    std::optional<kernel::timer_service::subscription> due_; // while owning
    unsigned checks_ = 0;
};

} // namespace waxwingvale::entry
