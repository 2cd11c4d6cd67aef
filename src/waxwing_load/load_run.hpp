#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "waxwing_load/call_tally.hpp"
#include "waxwing_load/caller_policy.hpp"
#include "waxwing_load/history_writer.hpp"
#include "waxwing_load/load_caller.hpp"
#include "waxwing_load/load_options.hpp"
#include "waxwing_load/precise_timer.hpp"
#include "waxwing_load/send_schedule.hpp"

namespace waxwingvale::load {

// What one run found.
struct load_result {
    call_tally through;        // by way of the entry instances
    call_tally direct;         // straight to backend servers
    std::uint64_t askings = 0; // for addresses
};

// One run from the callers' first question to the last answer.
class load_run {
public:
    load_run(kernel::event_loop& loop, kernel::timer_service& timers,
             const load_options& options);

    // Fails when no caller gets an address, or the history cannot be written.
    result<load_result> run();
    // Sends nothing more and ends when what is open has ended.
    void stop_early();

private:
    // A call from its due time to its end.
    struct open_call {
        history_call told;
        time_point due;
        load_caller* caller = nullptr; // null: a direct call
        endpoint direct_to;
        std::string body;
        unsigned attempts = 0;
        std::size_t choice = 0; // which of the caller's addresses
        bool ever_sent = false;
        kernel::timer_service::subscription next_attempt;
    };

    result<void> get_addresses();
    void begin_sending();
    void send_due();
    void open(const planned_send& planned);
    void attempt(std::uint64_t id);
    io::http_call request_of(const open_call& call, duration left) const;
    void take(std::uint64_t id, const io::http_call_result& ended);
    attempt_result read_result(const open_call& call,
                               const io::http_call_result& ended);
    void follow(std::uint64_t id, const caller_decision& decision);
    void finish(std::uint64_t id, call_end how);
    void stop_when_done();
    call_tally& tally_of(const open_call& call);

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    const load_options& options_;
    std::string run_id_;
    io::http_client client_;
    send_schedule schedule_;
    precise_timer send_timer_;
    history_writer history_;
    std::vector<std::unique_ptr<load_caller>> callers_;
    std::size_t callers_ready_ = 0;
    std::optional<planned_send> next_;
    time_point began_;
    std::uint64_t calls_ = 0;
    std::unordered_map<std::uint64_t, open_call> open_;
    load_result result_;
};

} // namespace waxwingvale::load
