#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/node_observer.hpp"
#include "standin/process.hpp"
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::standin {

// How many entry instances, and in which data centres.
struct control_fleet_options {
    unsigned instances = 3;
    std::vector<std::string> data_centres = {"sea", "pdx"};
    // Whether that instance can reach the platform; all can by default.
    std::function<bool(unsigned)> reaches_platform;
    // Whether seeds name the first two instances; else only the platform's
    // list tells who there is.
    bool seeds = true;
    // Instances that read the platform for all; 0: each for itself.
    unsigned readers = 0;
    // Whether each instance reaches the platform, and the seeds, by a relay of
    // its own.
    bool relays = false;
};

// Entry instances and a stand-in platform on this machine, each instance with
// an observer in this process that knows what it knows.
class control_fleet {
public:
    explicit control_fleet(control_fleet_options options);
    ~control_fleet();
    control_fleet(const control_fleet&) = delete;
    control_fleet& operator=(const control_fleet&) = delete;

    unsigned size() const { return options_.instances; }
    std::string name_of(unsigned instance) const;
    std::uint16_t admin_port(unsigned instance) const;
    std::uint16_t caller_port(unsigned instance) const;
    std::uint16_t steer_port(unsigned instance) const;
    child_process& process(unsigned instance);

    void start(unsigned instance);
    void start_all();
    // A process that has ended may be started again at the same ports.
    void start_again(unsigned instance);

    // Publishes through the stand-in's control port, without waiting; tells
    // when the platform has taken it.
    void publish(const std::string& value, const std::string& body,
                 std::optional<std::uint64_t> revision = {},
                 std::function<void()> acknowledged = {});
    void fault(const std::string& query);
    // With relays: "pass", "blackhole"... between that instance and the
    // platform; of the links by which seeds are asked.
    void relay_platform(unsigned instance, const std::string& mode) const;
    void relay_seeds(const std::string& mode) const;
    // The platform's list with all instances, and these backend servers.
    std::string instances_value(const std::string& backend_servers = "") const;

    // What the instance knows, as far as its observer was told.
    view view_at(unsigned instance) const;
    // What the instance itself says: whether its view is fresh, and how often
    // it was not after it had been stopped.
    bool is_fresh(unsigned instance) const;
    unsigned late_wakeups(unsigned instance) const;
    // A call of the administration API, to be sent.
    io::http_call admin_call(unsigned instance,
                             const std::string& target) const;
    // Sends on this fleet's loop, without waiting.
    void send(io::http_call call, io::http_client::handler on_done);
    // For a failed check: what that view says, in one line.
    std::string describe(unsigned instance) const;
    // When word of the instance came last.
    time_point heard(unsigned instance) const;
    const io::message_hub_counters& observer_counters(unsigned instance) const;
    void tell(unsigned instance, const backend_belief& belief);
    void tell(unsigned instance, const membership::death_record& death);

    // Runs the loop until the condition holds; false when it does not within
    // a bound far beyond what any run needs.
    bool run_until(const std::function<bool()>& condition);
    bool run_until_all(const std::function<bool(const view&)>& condition);
    void run_for(duration time);
    time_point now() const { return clock_.now(); }
    kernel::timer_service& timers() { return timers_; }

private:
    struct ports {
        std::uint16_t control = 0;
        std::uint16_t admin = 0;
        std::uint16_t caller = 0;
        std::uint16_t steer = 0;
    };

    void start_relays();
    void set_relay(std::size_t route, const std::string& mode) const;
    std::uint16_t relay_port(std::size_t route) const;
    nlohmann::json seeds() const;
    nlohmann::json platform_of(unsigned instance) const;
    std::string settings_of(unsigned instance) const;
    std::string settings_file(unsigned instance) const;
    void observe(unsigned instance);

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
    std::unique_ptr<child_process> relays_;
    nlohmann::json relay_ready_;
    std::map<unsigned, child_process> processes_;
    std::map<unsigned, std::unique_ptr<node_observer>> observers_;
};

// A valid configuration file of that many backend servers in one service; the
// mark makes two of them differ.
std::string fleet_configuration(unsigned backend_servers,
                                const std::string& mark);

// The value of a metric in Prometheus' text, or nothing.
std::optional<double> metric_in(const std::string& text,
                                const std::string& name);

} // namespace waxwingvale::standin
