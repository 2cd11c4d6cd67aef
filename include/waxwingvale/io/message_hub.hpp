#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/io/link_traffic.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::io {

// Who a hub is and how far it goes for its peers.
struct message_hub_options {
    std::string self_name;                        // "<instance>/<role>"
    std::string shared_key;                       // same on all processes
    std::size_t message_limit = 2 * 1024 * 1024;  // bytes, either way
    std::size_t outgoing_limit = 8 * 1024 * 1024; // bytes waiting, per link
    // Links open at once. At the limit the oldest that has not proved itself
    // makes room for a new one.
    std::size_t link_limit = 1024;
    // Of these, connections whose other end has not proved itself.
    std::size_t unproven_limit = 64;
    duration reconnect_min = std::chrono::milliseconds(50);
    duration reconnect_max = std::chrono::seconds(2);
    // A machine without power answers no connection, and the kernel asks again
    // only after a second: by then one that started a moment later than this
    // one has long been there. Twenty times the way between data centres.
    duration connect_timeout = std::chrono::milliseconds(250);
    duration handshake_timeout = std::chrono::seconds(3);
    duration keepalive = std::chrono::seconds(1); // pings at this pace
    duration silence_limit = std::chrono::seconds(3);
};

// What went over a hub's links since it started. Bytes are those on the
// sockets, pings and handshakes included; TCP and IP headers are not.
struct message_hub_counters {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t links_opened = 0; // authenticated
    std::uint64_t links_closed = 0; // of those
    std::uint64_t connects_failed = 0;
    std::uint64_t refused_malformed = 0;
    std::uint64_t refused_unauthenticated = 0;
    std::uint64_t refused_replayed = 0;
    std::uint64_t refused_too_large = 0;
    std::uint64_t refused_link_limit = 0;
    std::uint64_t dropped_slow = 0;   // the peer did not take what we sent
    std::uint64_t dropped_silent = 0; // nothing heard for the silence limit
};

// Authenticated links between our processes: websockets that carry CBOR
// frames, each a kind and a payload. A peer proves that it holds the shared
// key when the connection is made, and every message is bound to its
// connection and place in it, so that nothing recorded elsewhere is taken.
//
// Delivery is at most once and in order on one link; a message sent while a
// link breaks may be lost. Two links to one peer may be open for a moment.
class message_hub {
public:
    using payload = std::vector<std::uint8_t>;
    using message_handler =
        std::function<void(const std::string& peer_name, const payload& body)>;
    using link_handler =
        std::function<void(const std::string& peer_name, bool up)>;
    using peer_handler = std::function<void(const std::string& peer_name)>;

    message_hub(kernel::event_loop& loop, kernel::timer_service& timers,
                message_hub_options options);
    ~message_hub();
    message_hub(const message_hub&) = delete;
    message_hub& operator=(const message_hub&) = delete;

    // Accepts peers at an IP number and port; port 0 takes any free one.
    result<void> listen(const std::string& address, std::uint16_t port);
    // The port listened on, or 0.
    std::uint16_t port() const;

    // Keeps a connection to that peer open, trying again with jittered
    // backoff; rests while the peer holds a link to us. A later call for the
    // same name replaces the address.
    void connect(const std::string& peer_name, const std::string& host,
                 std::uint16_t port);
    // The same for a peer that is known by its address only, until
    // disconnect_address(). It proves that it holds the shared key; its name
    // is learnt.
    void connect_address(const std::string& host, std::uint16_t port);
    // Closes the link, unless it is the only one with a peer that is also to be
    // connected by name: then it serves for that.
    void disconnect_address(const std::string& host, std::uint16_t port);
    // Ends that and closes the links we opened to the peer.
    void disconnect(const std::string& peer_name);

    // Sends over the newest open link. False when there is none, or the
    // message is larger than the limit; true says nothing about arrival.
    bool send(const std::string& peer_name, const std::string& kind,
              payload body);

    // One handler for each kind; messages of other kinds are ignored.
    void on_message(const std::string& kind, message_handler handler);
    // Told when a peer's first link opens and its last one closes; every
    // handler given is called, in order.
    void on_link_change(link_handler handler);
    // Told when one of several links to a peer closes and others stay: what was
    // on its way over it is lost.
    void on_link_replaced(peer_handler handler);

    bool connected(const std::string& peer_name) const;
    std::vector<std::string> connected_peers() const; // sorted
    const message_hub_counters& counters() const;
    link_traffic& traffic();
    const link_traffic& traffic() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvale::io
