#pragma once

#include <cstdint>
#include <ev.h>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <waxwingvale/io/message_hub.hpp>

#include "io/link.hpp"

namespace waxwingvale::io {

// A peer that we keep connecting to.
struct dialed_peer {
    std::string name; // empty: whoever answers at the address
    std::string host;
    std::uint16_t port = 0;
    duration backoff{};
    bool under_way = false;
    kernel::timer_service::subscription retry;
    kernel::timer_service::subscription connecting;
};

// What a hub holds. The parts that connect to peers are in
// message_hub_dialing.cpp.
struct message_hub::state {
    state(kernel::event_loop& on, kernel::timer_service& with,
          message_hub_options as);
    ~state();

    void accept_waiting();
    void pause_accepting();
    // Links whose other end connected to us and has not proved itself.
    std::size_t unproven() const;
    // Makes room for a link that may prove itself; whether it could.
    bool drop_oldest_unproven();
    std::shared_ptr<link> add_link(link_origin origin);
    void close_dialed(const std::string& target);
    void dial(const std::string& target);
    void dial_later(const std::string& target, duration delay);
    void dial_as(const std::string& target, const std::string& name,
                 const std::string& host, std::uint16_t port);
    void stop_dialing(const std::string& target);
    void keep_if_wanted(const std::string& target);
    void dial_where_rested(const std::string& peer);
    duration next_backoff(dialed_peer& target);
    void on_ready(link& of);
    void on_closed(link& of);
    void deliver(const link& from, const std::string& kind,
                 const payload& body);
    void tell_change(const std::string& peer, bool up);
    link* newest(const std::string& peer) const;
    void tick(time_point now);

    kernel::event_loop& loop;
    kernel::timer_service& timers;
    message_hub_options options;
    message_hub_counters counters;
    link_traffic traffic;
    link_websocket_factory websockets;
    std::mt19937_64 random{std::random_device{}()};
    int listener = -1;
    ev_io accepting{};
    std::list<std::shared_ptr<link>> links;
    // Ready links of each peer, oldest first.
    std::map<std::string, std::vector<link*>> by_peer;
    std::map<std::string, dialed_peer> dialed;
    std::map<std::string, message_handler> message_handlers;
    std::vector<link_handler> link_handlers;
    std::vector<peer_handler> replaced_handlers;
    kernel::timer_service::subscription ticking;
    kernel::timer_service::subscription accepting_again;
    time_point last_tick{};
};

// "host:port", under which a peer without a name is dialed.
std::string address_of(const std::string& host, std::uint16_t port);

} // namespace waxwingvale::io
