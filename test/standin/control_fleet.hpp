#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/process.hpp"
#include <waxwingvale/io/control_messages.hpp>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/view_codec.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::standin {

// How many waxwing-control processes, and in which data centres.
struct control_fleet_options {
    unsigned instances = 3;
    std::vector<std::string> data_centres = {"sea", "pdx"};
    // Whether that instance can reach the platform; all can by default.
    std::function<bool(unsigned)> reaches_platform;
    // Whether seeds name the first two instances; else only the platform's
    // list tells who there is.
    bool seeds = true;
};

// waxwing-control processes and a stand-in platform on this machine, each
// control with a listener in this process that takes the place of its
// waxwing-entry: it receives the views and may report.
class control_fleet {
public:
    explicit control_fleet(control_fleet_options options);
    ~control_fleet();
    control_fleet(const control_fleet&) = delete;
    control_fleet& operator=(const control_fleet&) = delete;

    unsigned size() const { return options_.instances; }
    std::string name_of(unsigned instance) const;
    std::uint16_t admin_port(unsigned instance) const;
    child_process& process(unsigned instance);

    void start(unsigned instance);
    void start_all();
    // A process that has ended may be started again at the same ports, with
    // an entry that remembers nothing.
    void start_again(unsigned instance);

    // Publishes through the stand-in's control port, without waiting.
    void publish(const std::string& value, const std::string& body,
                 std::optional<std::uint64_t> revision = {});
    void fault(const std::string& query);
    // The platform's list with all instances, and these backend servers.
    std::string instances_value(const std::string& backend_servers = "") const;

    // The view that the instance's listener received last, or null.
    view_ptr view_at(unsigned instance) const;
    // How many views were received that called themselves not fresh.
    unsigned views_not_fresh(unsigned instance) const;
    // For a failed check: what that view says, in one line.
    std::string describe(unsigned instance) const;
    time_point view_time(unsigned instance) const;
    const io::message_hub_counters& listener_counters(unsigned instance) const;
    void report(unsigned instance, const char* kind, io::message_bytes message);

    // Runs the loop until the condition holds; false when it does not within
    // a bound far beyond what any run needs.
    bool run_until(const std::function<bool()>& condition);
    bool run_until_all(const std::function<bool(const view&)>& condition);
    void run_for(duration time);
    time_point now() const { return clock_.now(); }
    kernel::timer_service& timers() { return timers_; }

private:
    struct listener;
    struct ports {
        std::uint16_t control = 0;
        std::uint16_t admin = 0;
        std::uint16_t caller = 0;
        std::uint16_t entry = 0;
        std::uint16_t steer = 0;
    };

    std::string settings_of(unsigned instance) const;
    std::string settings_file(unsigned instance) const;
    void listen_at(unsigned instance);

    control_fleet_options options_;
    kernel::monotonic_clock clock_;
    kernel::event_loop loop_;
    kernel::timer_service timers_{clock_, loop_};
    io::http_client client_{loop_, {}};
    std::string folder_;
    child_process platform_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t closed_port_ = 0;
    std::vector<ports> ports_;
    std::map<unsigned, child_process> processes_;
    std::map<unsigned, std::unique_ptr<listener>> listeners_;
};

// A valid configuration file of that many backend servers in one service; the
// mark makes two of them differ.
std::string fleet_configuration(unsigned backend_servers,
                                const std::string& mark);

// The value of a metric in Prometheus' text, or nothing.
std::optional<double> metric_in(const std::string& text,
                                const std::string& name);

} // namespace waxwingvale::standin
