#pragma once

#include <string>
#include <vector>

#include "standin/fleet.hpp"
#include "standin/history_file.hpp"
#include "standin/soak/soak_plan.hpp"

namespace waxwingvale::standin {

// Plays a plan on real processes and judges what callers and backend servers
// have seen.
class soak_run {
public:
    explicit soak_run(const soak_plan& plan);

    // What was broken, in words; empty: nothing.
    std::vector<std::string> play();
    // What callers got, and what was not checked, for the report.
    const std::string& summary() const { return summary_; }

private:
    using handler = void (soak_run::*)(std::size_t target);
    struct handlers {
        handler begin;
        handler end;
    };
    struct moment {
        std::chrono::milliseconds at{};
        handler does = nullptr;
        std::size_t target = 0;
    };

    static handlers handlers_of(fault_kind kind);
    std::vector<moment> timeline() const;
    void follow_timeline();
    void heal();
    void check_healed();
    void check_load(child_process& load);
    void check_history();
    void stop_all();
    void check_end_of(entry_instance_process& stopped);
    void check_request_ends();
    void check_count_of_ends();
    std::string events_of(const std::string& broken) const;
    void broke(const std::string& what) { broken_.push_back(what); }

    void nothing(std::size_t) {}
    void kill_instance(std::size_t target);
    void stop_instance(std::size_t target);
    void start_instance(std::size_t target);
    void pause_instance(std::size_t target);
    void resume_instance(std::size_t target);
    void kill_backend(std::size_t target);
    void start_backend(std::size_t target);
    void pause_backend(std::size_t target);
    void resume_backend(std::size_t target);
    void slow_backend(std::size_t target);
    void quicken_backend(std::size_t target);
    void limit_backend(std::size_t target);
    void tire_backend(std::size_t target);
    void end_terms(std::size_t target);
    void command_backend(std::size_t target, const std::string& fault);
    void platform_down(std::size_t target);
    void platform_slow(std::size_t target);
    void platform_stale(std::size_t target);
    void platform_up(std::size_t target);
    void peers_cut(std::size_t target);
    void peers_reset(std::size_t target);
    void peers_slow(std::size_t target);
    void peers_pass(std::size_t target);
    void backend_cut(std::size_t target);
    void backend_silent(std::size_t target);
    void backend_reset(std::size_t target);
    void backend_pass(std::size_t target);
    void publish(std::size_t target);

    entry_instance_process& instance(std::size_t target);
    backend_process& backend(std::size_t target);
    bool is_up(std::size_t target);
    void set_routes(const std::string& mode, std::size_t first,
                    std::size_t count) const;
    void make_relays();

    soak_plan plan_;
    fleet fleet_;
    temporary_folder folder_;
    std::string callers_file_ = folder_.file("callers.jsonl");
    std::string events_file_ = folder_.file("events.jsonl");
    history_file events_{events_file_};
    std::unique_ptr<child_process> relay_;
    nlohmann::json relay_ready_;
    // Instances that were told to stop and are not up again.
    std::vector<bool> told_to_stop_;
    // Backend servers that were killed and are not up again.
    std::vector<bool> backend_down_;
    std::vector<std::string> broken_;
    std::string summary_;
};

} // namespace waxwingvale::standin
