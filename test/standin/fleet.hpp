#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/http_request_once.hpp"
#include "standin/process.hpp"
#include "standin/run_history.hpp"
#include "standin/temporary_folder.hpp"

namespace waxwingvale::standin {

// The platform stand-in as a process.
class platform_process {
public:
    platform_process();
    std::uint16_t port() const { return port_; }
    // Publishes; the revision rises by one, or is the one given. Returns it.
    std::uint64_t publish(const std::string& name, const std::string& value,
                          std::uint64_t revision = 0) const;
    // "up", "down", "stale" or "slow&ms=N".
    void fault(const std::string& mode) const;
    nlohmann::json counts() const;
    child_process& process() { return process_; }

private:
    child_process process_;
    std::uint16_t port_;
};

// One stand-in backend server as a process of its own.
class backend_process {
public:
    backend_process(std::string name, const std::vector<std::string>& options,
                    const std::string& history);
    const std::string& name() const { return name_; }
    std::uint16_t port() const { return port_; }
    child_process& process() { return *process_; }
    void fault(const std::string& command) const;
    nlohmann::json load() const;
    nlohmann::json runs() const;
    // Starts it again at the same port, as a new incarnation.
    void restart();

private:
    void launch();

    std::string name_;
    std::vector<std::string> options_;
    std::string history_;
    std::uint16_t port_;
    std::unique_ptr<child_process> process_;
};

// One entry instance: its settings and its process.
class entry_instance_process {
public:
    entry_instance_process(std::string name, std::string data_centre,
                           std::uint16_t platform_port,
                           const temporary_folder& folder,
                           const nlohmann::json& instance_settings);

    void start();
    // SIGTERM; the exit code, or nothing when it did not end in time.
    std::optional<int> stop();

    const std::string& name() const { return name_; }
    std::uint16_t caller_port() const { return caller_port_; }
    std::uint16_t steer_port() const { return steer_port_; }
    child_process& process() { return *process_; }

    // How it stands in the platform's list. Peers may be sent to another port
    // than the one it listens on, to a relay for instance.
    nlohmann::json listed(const std::string& state = "live") const;
    std::uint16_t control_port() const { return control_port_; }
    void list_peer_port(std::uint16_t control);

    // A document of its administration API, null when it does not answer.
    nlohmann::json admin(const std::string& path) const;
    // The configuration revision in force on it, or 0.
    std::uint64_t revision_in_force() const;

private:
    std::string name_;
    std::string data_centre_;
    std::uint16_t caller_port_ = free_port();
    std::uint16_t steer_port_ = free_port();
    std::uint16_t control_port_ = free_port();
    std::uint16_t admin_port_ = free_port();
    std::uint16_t listed_control_port_ = control_port_;
    std::string settings_file_;
    std::unique_ptr<child_process> process_;
};

// What a test wants to run.
struct fleet_options {
    unsigned entry_instances = 2;
    unsigned backend_servers = 2;
    unsigned slots = 4;
    // Budget of hedges; 0 where a test counts cancelled requests, since the
    // slower copy of a hedged read is cancelled by design.
    double hedges = 0.05;
    // Further options of each standin-backend.
    std::vector<std::string> backend_options = {"--service-ms=5"};
    // Merged into the part "instance" of each instance's settings.
    nlohmann::json instance_settings = nlohmann::json::object();
};

// The whole system as separate processes on loopback: a platform, entry
// instances of two data centres, and backend servers of one service, whose
// GETs are retriable and whose POSTs run at most once.
class fleet {
public:
    explicit fleet(fleet_options options);

    // Starts all and waits until every entry instance serves.
    void start();
    // The same with a changed configuration().
    void start(const nlohmann::json& configuration);

    platform_process& platform() { return platform_; }
    entry_instance_process& instance(std::size_t index);
    std::size_t instance_count() const { return instances_.size(); }
    backend_process& backend(std::size_t index);
    run_history history() const { return run_history(history_file_); }
    const std::string& history_file_name() const { return history_file_; }

    // The configuration as a document, to be changed and published.
    nlohmann::json configuration() const;
    std::uint64_t publish(const nlohmann::json& configuration);
    // Publishes the list of instances; those named are left out or leaving.
    void publish_instances(const std::vector<std::string>& leaving = {});
    entry_instance_process& add_instance();

    // Whether every entry instance named serves a read and knows its peers.
    bool serves(const entry_instance_process& by) const;
    // How it answers the read by which serves() asks: status and reason.
    std::string read_answer(const entry_instance_process& by) const;
    void wait_until_serving();
    // How many requests these have sent to instances.
    std::size_t reads() const { return reads_; }

    // One call by way of that entry instance, waited for.
    io::http_call read_call(std::size_t instance) const;
    io::http_call book_call(std::size_t instance, const std::string& key) const;
    // A key that the instance remembers.
    std::string key_of(std::size_t instance, const std::string& suffix) const;

    // waxwing-load on this fleet, begun; options are added to the usual ones.
    child_process start_load(const std::vector<std::string>& options,
                             const std::string& service = "desk") const;

private:
    io::http_call_result read_once(const entry_instance_process& by) const;

    fleet_options options_;
    mutable std::size_t reads_ = 0;
    temporary_folder folder_;
    std::string history_file_;
    platform_process platform_;
    std::vector<std::unique_ptr<backend_process>> backends_;
    std::vector<std::unique_ptr<entry_instance_process>> instances_;
};

// What a waxwing-load that has been started tells at its end.
struct load_report {
    nlohmann::json through;
    int exit_code = -1;

    // Calls that ended so ("answered", "lost"...).
    std::uint64_t ended(const std::string& how) const;
    std::uint64_t calls() const;
};
load_report finish_load(child_process& load);

} // namespace waxwingvale::standin
