#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/message_bus.hpp>
#include <waxwingvale/program/program_frame.hpp>

#include "entry/call_desk.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/malformed_log.hpp"
#include "entry/prober.hpp"
#include "entry/request_end_log.hpp"
#include "entry/server_starts.hpp"
#include "entry/terms_log.hpp"

namespace waxwingvale::entry {

// Takes callers' requests and has them run. Wires the parts of the request
// path and owns its sockets.
class entry_service : call_desk_outlet, probe_outlet {
public:
    // Finds the bus and the peers by their names.
    entry_service(const program::program_environment& environment,
                  member_id self, const request_protocol& protocol);

    result<void> start();
    std::uint16_t port() const { return callers_.port(); }
    // Where partitioned instances hand requests on; 0 when it could not be
    // listened on.
    std::uint16_t detour_port() const { return peers_.port(); }
    // Whether requests can be understood: a configuration is in force.
    bool ready() const { return view_ && view_->config; }
    // Callers that hold this address are served for a while yet, and asked to
    // go elsewhere; then no more is taken, what is under way is finished, and
    // `stopped` is called.
    void stop(std::function<void()> stopped);

private:
    void on_sent(const std::string& backend_server) override {
        terms_log_.record_request(backend_server);
    }
    void observe(const std::string& backend_server,
                 const backend_answer& answer) override;
    std::vector<std::string>
    servers_to_probe(const std::string& service) override;
    bool may_probe(const std::string& service,
                   const std::string& backend_server) override;
    void on_probe_sent(const std::string& service,
                       const std::string& backend_server) override;
    void on_probe(const std::string& service, const std::string& backend_server,
                  time_point sent, const backend_answer& answer) override;
    void report(const std::string& backend_server, const backend_answer& answer,
                belief_source source);
    bool is_change(const std::string& backend_server, std::uint64_t incarnation,
                   backend_state seen) const;
    void send_to_peer(const outgoing_grant_message& message) override;

    void wire_peers();
    void take(const program::view_published& published);
    void follow_link(const std::string& peer, bool up);
    void check_drained();
    void listen_to_peers();
    void follow_reach(bool partitioned);

    program::program_environment environment_;
    member_id self_;
    entry_metrics metrics_;
    request_end_log ends_;
    request_end_log detour_ends_;
    kernel::message_bus& bus_;
    io::message_hub& hub_;
    forwarding::caller_server callers_;
    forwarding::caller_server peers_; // partitioned ones hand requests on
    forwarding::backend_pool pool_;
    forwarding::backend_pool peer_pool_;
    view_ptr view_;
    server_starts starts_;
    terms_log terms_log_;
    malformed_log malformed_log_;
    reach_watch reach_;
    detour_desk detours_;
    call_desk calls_;
    prober prober_;
    kernel::timer_service::subscription leave_notice_;
    kernel::timer_service::subscription drain_check_;
    std::function<void()> stopped_;
};

} // namespace waxwingvale::entry
