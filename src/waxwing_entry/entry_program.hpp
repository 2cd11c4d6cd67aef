#pragma once

#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/kernel/wake_hook.hpp>
#include <waxwingvale/program/program_frame.hpp>
#include <waxwingvale/program/view_feed.hpp>

#include "waxwing_entry/call_desk.hpp"
#include "waxwing_entry/entry_metrics.hpp"
#include "waxwing_entry/prober.hpp"

namespace waxwingvale::entry {

// waxwing-entry: takes callers' requests and has them run. Wires its parts
// and owns the sockets.
class entry_program : public program::server_program, call_desk_outlet {
public:
    explicit entry_program(const program::program_environment& environment);
    ~entry_program() override;

    result<program::port_map> start() override;
    void stop(std::function<void()> stopped) override;

private:
    void observe(const std::string& backend_server,
                 const backend_answer& answer) override;
    void report(const std::string& backend_server, const backend_answer& answer,
                belief_source source);
    bool is_change(const std::string& backend_server, std::uint64_t incarnation,
                   backend_state seen) const;
    void send_to_peer(const outgoing_grant_message& message) override;
    void ask_for_fresh_view(std::uint64_t ask) override;

    // Makes the parts known by name before the others look for them.
    const kernel::service_registry& provide_parts();
    void wire_peers();
    void follow_members(const view& now);
    void limit_connections(const view& now);
    void follow_link(const std::string& peer, bool up);
    void announce_self(std::uint64_t ask);
    void check_drained();

    program::program_environment environment_;
    member_id self_;
    std::string control_name_;
    entry_metrics metrics_;
    kernel::message_bus bus_;
    io::message_hub hub_;
    io::http_server callers_;
    io::http_client backend_servers_;
    program::view_feed feed_;
    call_desk calls_;
    prober prober_;
    std::unique_ptr<program::metrics_endpoint> metrics_endpoint_;
    kernel::wake_hook wake_;
    kernel::timer_service::subscription drain_check_;
    std::function<void()> stopped_;
};

} // namespace waxwingvale::entry
