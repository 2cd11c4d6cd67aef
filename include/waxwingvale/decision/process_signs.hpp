#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <waxwingvale/decision/crash_record.hpp>
#include <waxwingvale/decision/server_sign.hpp>

namespace waxwingvale::decision {

// The latest signs of each backend server, for runs of which an instance hears
// only afterwards: a peer's word of a lost connection may come later than the
// sign that tells what became of the process.
class process_signs {
public:
    // The process answered what was sent to it at that moment.
    void note_answer(const backend_process& process, time_point sent);
    void note_end(const backend_process& process, time_point now);
    // The run with the fate that follows from what was noted.
    lost_run judged(lost_run run) const;
    // Forgets what is too old to tell of a run of which word may still come.
    void tick(time_point now);

private:
    struct signs {
        std::uint64_t answered_by = 0; // incarnation
        time_point answered{};         // sent then
        bool has_answered = false;
        std::uint64_t ended_up_to = 0; // incarnation
        time_point ended{};
        bool has_ended = false;
    };

    std::unordered_map<std::string, signs> of_servers_; // by name
};

} // namespace waxwingvale::decision
