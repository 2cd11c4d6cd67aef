#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "waxwing_control/control_metrics.hpp"
#include "waxwing_control/knowledge.hpp"
#include "waxwing_control/local_processes.hpp"
#include "waxwing_control/peer_links.hpp"
#include <waxwingvale/administration/admin_api.hpp>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/kernel/wake_hook.hpp>
#include <waxwingvale/program/program_frame.hpp>

namespace waxwingvale::control {

// waxwing-control: reads the platform, exchanges with the other entry
// instances what is known, and tells the processes beside it.
class control_process : public program::server_program {
public:
    explicit control_process(const program::program_environment& environment);

    result<program::port_map> start() override;
    void stop(std::function<void()> stopped) override;

private:
    void watch_platform();
    void take_configuration(const io::platform_reading& reading);
    void take_instances(const io::platform_reading& reading);
    void settle_freshness();
    void hear_platform(const io::platform_reading& reading);
    void on_wake();
    void on_tick(time_point now);
    // Something may have changed: views and messages follow within a moment,
    // several changes together.
    void changed();
    void flush();
    void log_turns();

    program::program_environment environment_;
    std::uint64_t incarnation_;
    io::message_hub hub_;
    io::http_client client_;
    io::platform_client platform_;
    std::unique_ptr<knowledge> known_;
    std::unique_ptr<local_processes> local_;
    std::unique_ptr<peer_links> peers_;
    std::unique_ptr<control_metrics> metrics_;
    std::unique_ptr<administration::admin_server> admin_;
    std::unique_ptr<kernel::wake_hook> wake_;
    kernel::timer_service::subscription ticking_;
    kernel::timer_service::subscription flushing_;
    kernel::timer_service::subscription stopping_;
    bool flush_planned_ = false;
    std::uint64_t logged_revision_ = 0;
    std::uint64_t logged_refused_ = 0;
    bool logged_replaced_ = false;
};

} // namespace waxwingvale::control
