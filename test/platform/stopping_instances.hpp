#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform/ending_servers.hpp"
#include "platform/kept_caller.hpp"

namespace waxwingvale::platform {

// Five instances that are told to stop one after the other, before the former
// ones have ended, and are started again; all the while some get no processor
// time for a moment. Their callers keep connections.
class stopping_instances {
public:
    // `seed` decides who gets no processor time, and the callers' pauses.
    explicit stopping_instances(std::uint32_t seed);

    // So many for each instance.
    void add_callers(std::size_t count, kept_caller::habits has);
    // Connections on which nothing is asked are closed after this.
    void set_idle_limit(duration limit);
    // Plays for that long, then stops all and waits until all have ended.
    void play(duration time);

    // What came of the requests of all callers.
    kept_caller::results seen() const;
    // How processes ended that were told to stop.
    const std::vector<int>& exit_codes() const { return exit_codes_; }

    ending_servers world;

private:
    void publish(const nlohmann::json& limits);
    void stop_next();
    void start_ended();
    void note_end_of(standin::child_process& ended);
    void deprive_one();
    void finish_callers();
    void stop_all();

    std::mt19937 random_;
    std::vector<std::unique_ptr<kept_caller>> callers_;
    std::vector<bool> told_to_stop_;
    std::vector<int> exit_codes_;
    std::list<kernel::timer_service::subscription> deprived_;
    std::size_t next_ = 0;
    unsigned published_ = 1;
};

} // namespace waxwingvale::platform
