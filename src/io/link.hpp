#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "io/link_authentication.hpp"
#include "io/link_frame.hpp"
#include "io/link_websocket.hpp"
#include "io/stream_socket.hpp"
#include <waxwingvale/io/message_hub.hpp>

namespace waxwingvale::io {

// What a link tells the hub. None is called from within the hub's own calls
// but on_message and on_ready, which come from the socket.
struct link_handlers {
    std::function<void()> on_ready; // the peer has proved who it is
    std::function<void(const std::string& kind, const link_bytes& payload)>
        on_message;
    std::function<void()> on_closed; // once; the link may then be destroyed
};

// Whose link it is and how it came about.
struct link_origin {
    int descriptor = -1;
    bool dialed = false;       // we opened it
    std::string target;        // when dialed: what the hub dials it as
    std::string expected_peer; // when dialed: the name that must answer, or
                               // empty when the address alone is known
    std::string address;       // when dialed
};

// One connection to one peer: the socket, its websocket, the opening exchange
// and the tags.
//
//   dialer                          listener
//   hello(name, nonce)         ->
//                              <-   challenge(name, nonce, listener's proof)
//   proof(dialer's proof)      ->
//
// and from then on tagged frames either way. Each proof covers both names and
// both nonces, so neither can be used on another connection.
class link {
public:
    link(kernel::event_loop& loop, link_websocket_factory& websockets,
         const message_hub_options& options, message_hub_counters& counters,
         link_origin origin, link_handlers handlers);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    void start(time_point now);
    bool send(const std::string& kind, link_bytes payload);
    // Closes the connection; on_closed follows from the loop.
    void close();

    // Sends a ping, and closes a link that is silent or slow to open.
    void tick(time_point now);
    // The process was stopped for a while: what the peer sent meanwhile still
    // waits in the socket, so that time is not its silence. Only that time:
    // counted anew from here, silence would never end on a machine that is
    // stopped again and again.
    void forgive_silence(duration stopped_for, time_point now);

    bool ready() const { return phase_ == phase::ready; }
    // Whether the other end has accepted the connection.
    bool connected() const { return connected_; }
    bool dialed() const { return origin_.dialed; }
    // Empty until the peer has proved its name.
    const std::string& peer() const { return peer_; }
    const std::string& target() const { return origin_.target; }
    // From now on it is held for another purpose of the hub than that for
    // which it was dialed.
    void serve_as(const std::string& target) { origin_.target = target; }

private:
    enum class phase {
        opening, // TCP or websocket not yet open
        awaiting_hello,
        awaiting_challenge,
        awaiting_proof,
        ready,
        closed
    };

    link_websocket_handlers websocket_handlers();
    void write(const char* bytes, std::size_t size);
    void on_bytes(const char* bytes, std::size_t size);
    void on_websocket_open();
    void on_websocket_message(const std::string& message);
    void take_opening_frame(const std::string& message);
    void take_hello(const link_frame& frame);
    void take_challenge(const link_frame& frame);
    void take_proof(const link_frame& frame);
    void take_message(const std::string& message);
    void become_ready();
    void send_opening(const char* kind, const std::string& nonce,
                      const std::string& proof);
    void refuse(std::uint64_t& counter);
    void count_bytes();

    const message_hub_options& options_;
    message_hub_counters& counters_;
    link_origin origin_;
    link_handlers handlers_;
    phase phase_ = phase::opening;
    bool connected_ = false;
    link_identity identity_;
    std::string peer_;
    std::string send_key_;
    std::string receive_key_;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t heard_bytes_ = 0;
    std::uint64_t counted_in_ = 0;
    std::uint64_t counted_out_ = 0;
    time_point heard_{};
    time_point pinged_{};
    time_point opened_{};
    std::unique_ptr<link_websocket> websocket_;
    std::unique_ptr<stream_socket> socket_;
};

} // namespace waxwingvale::io
