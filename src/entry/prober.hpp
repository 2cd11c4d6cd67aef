#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <waxwingvale/decision/probe_budget.hpp>
#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Asks the backend servers that this instance owns how they are, within the
// budget of the configuration file. Probes find out what no request tells: a
// dead server that has come back, and a leaving one that nobody calls.
class prober {
public:
    using report = std::function<void(const std::string& backend_server,
                                      const backend_answer& answer)>;

    prober(std::string self, const request_protocol& protocol,
           kernel::timer_service& timers, forwarding::backend_pool& pool,
           program::counter probes, report on_answer);

    void take(const view_ptr& view);
    // How many entry instances this one has a link to.
    void change_links(std::size_t links);

private:
    struct service_probes {
        explicit service_probes(const decision::probe_limits& limits)
            : budget(limits) {}
        decision::probe_budget budget;
        std::set<std::string> owned;
    };

    void follow(const service& of, time_point now);
    void update_share(time_point now);
    void probe_due(time_point now);
    void send_probe(const service& of, const backend_server& to);

    std::string self_;
    const request_protocol& protocol_;
    kernel::timer_service& timers_;
    forwarding::backend_pool& pool_;
    program::counter probes_;
    report on_answer_;
    view_ptr view_;
    std::size_t links_ = 0;
    std::map<std::string, service_probes> services_;
    // Probes under way, by backend server, and when they are given up.
    std::map<std::string, kernel::timer_service::subscription> open_;
    kernel::timer_service::subscription due_;
};

} // namespace waxwingvale::entry
