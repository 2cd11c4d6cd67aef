#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/process.hpp"
#include "standin/temporary_folder.hpp"

namespace waxwingvale::platform {

constexpr const char* shipped_program = "waxwing-platform-node";
// The same, but connections fail where it is told so.
constexpr const char* cut_node = "standin-cut-node";

// Instances as the platform starts them, each a process of its own, spread over
// zones. Each zone is a region of its own.
class instance_group {
public:
    struct ports {
        std::uint16_t control = standin::free_port();
        std::uint16_t caller = standin::free_port();
        std::uint16_t metrics = standin::free_port();
        std::uint16_t directory = standin::free_port();
    };

    // `budgets` are merged into the settings of the deployment.
    instance_group(std::size_t count, std::vector<std::string> zones,
                   std::uint16_t store_port, nlohmann::json budgets = {},
                   std::string program = shipped_program);

    std::size_t size() const { return ports_.size(); }
    std::uint16_t caller_port(std::size_t number) const {
        return ports_.at(number).caller;
    }
    std::uint16_t control_port(std::size_t number) const {
        return ports_.at(number).control;
    }
    std::uint16_t metrics_port(std::size_t number) const {
        return ports_.at(number).metrics;
    }
    std::uint16_t directory_port(std::size_t number) const {
        return ports_.at(number).directory;
    }
    // The share of a processor that an instance says it has, from its next
    // start on; 1 where none is set.
    void set_cpu_share(std::size_t number, double share) {
        cpu_shares_[number] = share;
    }
    standin::child_process& process(std::size_t number) {
        return *processes_.at(number);
    }
    // Starts all, one after the other.
    void start();
    // Starts all at one moment; those that ran before must have ended. Calls
    // `meanwhile` again and again until all are ready.
    void start_while(const std::function<void()>& meanwhile);
    // Kills an instance's process and starts it again.
    void restart(std::size_t number);
    // Making a connection to these ports fails at once with that error of the
    // system, also after a restart, until no ports are given. Only a cut_node
    // does so.
    void fail_connects(std::size_t number, int error_number,
                       const std::vector<std::uint16_t>& to);
    // Starts an instance whose process has ended, and does not wait for it.
    void start_again(std::size_t number);

private:
    std::string settings_of(std::size_t number) const;
    std::unique_ptr<standin::child_process> launch(std::size_t number);
    std::unique_ptr<standin::child_process>
    launch_and_await(std::size_t number);

    std::vector<std::string> zones_;
    std::uint16_t store_port_;
    nlohmann::json budgets_;
    std::string program_;
    std::vector<ports> ports_;
    std::map<std::size_t, double> cpu_shares_; // by number
    standin::temporary_folder folder_;
    std::vector<std::unique_ptr<standin::child_process>> processes_;
};

} // namespace waxwingvale::platform
