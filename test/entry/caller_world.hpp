#pragma once

#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/forwarding/caller_server.hpp>

#include "entry/call_desk.hpp"
#include "entry/own_protocol.hpp"
#include "standin/raw_peer.hpp"

namespace waxwingvale::standin {

// Callers, an instance's call desk and two backend servers, "a" and "b", in one
// process; the bytes of callers and servers are written by hand. Requests to
// "/desk" may be repeated when they are GETs and run at most once when POSTs.
class caller_world : public loop_fixture, public entry::call_desk_outlet {
public:
    explicit caller_world(unsigned slots);

    std::unique_ptr<raw_connection> caller();
    static std::string get();
    static std::string post();
    // A POST whose key is held by this instance; copies have the same number.
    static std::string post_with_key(const std::string& number);
    // Leaves connections to both servers that are kept for the next requests.
    void warm_up(unsigned connections);
    // All requests that reached a server since warm_up(), by their bytes.
    std::size_t requests_at(raw_listener& server);
    std::size_t requests_at_servers() {
        return requests_at(a) + requests_at(b);
    }
    // The connection at which a server has read a request and not answered it.
    raw_connection* busy_connection(raw_listener& server);
    void answer(raw_connection& of_server, const std::string& head);

    raw_listener a{loop};
    raw_listener b{loop};
    forwarding::backend_pool pool{loop, timers};
    io::message_hub hub{loop, timers, {"entry-0/entry", "key"}};
    program::metrics all_metrics;
    entry::entry_metrics metrics{all_metrics};
    entry::own_protocol protocol;
    forwarding::backend_pool peers{loop, timers};
    entry::reach_watch reach{
        protocol, timers, pool, hub, metrics.partitioned, metrics.reach_checks};
    entry::detour_desk detours{"entry-0", timers, peers, "token"};
    entry::call_desk desk{{"entry-0", 1}, protocol, loop,    timers, pool, hub,
                          metrics,        reach,    detours, *this};
    forwarding::caller_server callers{loop, timers, {}};
    configuration config;

    // Puts `config` in force.
    void publish();

private:
    void on_sent(const std::string& /*backend_server*/) override {}
    void observe(const std::string& /*backend_server*/,
                 const entry::backend_answer& /*answer*/) override {}
    void send_to_peer(const entry::outgoing_grant_message& /*m*/) override {}
};

} // namespace waxwingvale::standin
