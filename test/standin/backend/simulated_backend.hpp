#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "standin/backend/backend_options.hpp"
#include "standin/backend/run_log.hpp"
#include "standin/backend/service_times.hpp"
#include "standin/request_target.hpp"

namespace waxwingvale::standin {

// One stand-in backend server: runs requests on its slots by waiting, with a
// bounded queue before them, and shows the faults it is told to.
class simulated_backend {
public:
    simulated_backend(kernel::event_loop& loop, kernel::timer_service& timers,
                      const backend_options& options, history_file& history);

    result<void> start();
    std::uint16_t port() const { return port_; }
    const backend_options& options() const { return options_; }

    // Refuses new requests from now on; what runs or waits goes on.
    void drain();
    // Drains and calls the handler once all is answered.
    void stop(std::function<void()> on_stopped);
    // Called when a stop is asked for over HTTP.
    void on_stop_wanted(std::function<void()> handler);

private:
    // A request that runs or waits for a slot.
    struct run {
        io::http_request request;
        io::http_responder respond;
        std::size_t generation; // of the server that received it
        std::optional<time_point> deadline;
        kernel::timer_service::subscription end;
    };
    using run_list = std::list<run>;
    using command = void (simulated_backend::*)(const request_target&,
                                                const io::http_responder&);

    result<void> listen();
    void handle(std::size_t generation, io::http_request request,
                const io::http_responder& respond);
    bool handle_command(const io::http_request& request,
                        const io::http_responder& respond);
    void tell_load(const request_target& target,
                   const io::http_responder& respond);
    void tell_health(const request_target& target,
                     const io::http_responder& respond);
    void tell_runs(const request_target& target,
                   const io::http_responder& respond);
    void set_fault(const request_target& target,
                   const io::http_responder& respond);
    void stop_by_command(const request_target& target,
                         const io::http_responder& respond);

    void admit(run accepted);
    void begin(run_list& from, run_list::iterator which);
    void finish(run_list::iterator which, const std::string& how);
    void start_waiting();
    void drop_abandoned();
    void watch_callers();
    void refuse(const run& refused, const std::string& why);
    void answer(const run& answered, unsigned status, std::string body);
    void go_silent();
    duration service_time();
    io::http_headers state_headers(const io::http_request& request) const;
    bool idle() const;

    kernel::event_loop& loop_;
    kernel::timer_service& timers_;
    backend_options options_;
    service_times times_;
    run_log log_;
    backend_faults faults_;
    // One server each time it goes silent: only the last one is answered on.
    std::vector<std::unique_ptr<io::http_server>> servers_;
    std::uint16_t port_ = 0;
    bool leaving_ = false;
    run_list running_;
    run_list waiting_;
    kernel::timer_service::subscription caller_watch_;
    kernel::timer_service::subscription stop_watch_;
    std::list<kernel::timer_service::subscription> delayed_;
    std::function<void()> on_stop_wanted_;
};

} // namespace waxwingvale::standin
