// The part of message_hub that connects to peers, and keeps doing so.

#include <algorithm>
#include <utility>

#include "io/message_hub_state.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::io {

namespace {

// A peer that lost its link to us opens it again sooner than this, so that
// rarely both do.
constexpr duration rested_wait = std::chrono::milliseconds(50);

} // namespace

std::string address_of(const std::string& host, std::uint16_t port) {
    return host + ":" + std::to_string(port);
}

void message_hub::state::close_dialed(const std::string& target) {
    const std::vector<std::shared_ptr<link>> open(links.begin(), links.end());
    for (const auto& each : open) {
        if (each->dialed() && each->target() == target) {
            each->close();
        }
    }
}

void message_hub::state::dial(const std::string& target) {
    const auto found = dialed.find(target);
    if (found == dialed.end() || found->second.under_way) {
        return;
    }
    auto& peer = found->second;
    if (!peer.name.empty() && newest(peer.name) != nullptr) {
        // The peer holds a link to us, which does; look again later.
        dial_later(target, options.reconnect_max);
        return;
    }
    const auto descriptor = start_connect(peer.host, peer.port);
    if (!descriptor) {
        ++counters.connects_failed;
        dial_later(target, next_backoff(peer));
        return;
    }
    peer.under_way = true;
    link_origin origin;
    origin.descriptor = descriptor.value();
    origin.dialed = true;
    origin.target = target;
    origin.expected_peer = peer.name;
    origin.address = address_of(peer.host, peer.port);
    const std::weak_ptr<link> added = add_link(std::move(origin));
    peer.connecting =
        timers.after(options.connect_timeout, [added](time_point) {
            const auto dialed_link = added.lock();
            if (dialed_link && !dialed_link->connected()) {
                dialed_link->close();
            }
        });
}

void message_hub::state::dial_later(const std::string& target, duration delay) {
    dialed.at(target).retry =
        timers.after(delay, [this, target](time_point) { dial(target); });
}

void message_hub::state::dial_as(const std::string& target,
                                 const std::string& name,
                                 const std::string& host, std::uint16_t port) {
    auto& peer = dialed[target];
    const bool same = peer.host == host && peer.port == port;
    if (same) {
        return;
    }
    peer.name = name;
    peer.host = host;
    peer.port = port;
    peer.backoff = duration::zero();
    // A link to the former address would keep us from trying the new one.
    close_dialed(target);
    dial_later(target, duration::zero());
}

void message_hub::state::stop_dialing(const std::string& target) {
    if (dialed.erase(target) > 0) {
        close_dialed(target);
    }
}

// Two instances that find each other by a seed's address both want the link by
// name as well, and the one that was dialed rests. Closed with the address, the
// only link would be gone, and leased slots could not be returned to their
// owner until their leases had run out.
void message_hub::state::keep_if_wanted(const std::string& target) {
    for (const auto& each : links) {
        if (!each->dialed() || each->target() != target) {
            continue;
        }
        const auto wanted = dialed.find(each->peer());
        const bool is_only = newest(each->peer()) == each.get() &&
                             by_peer.at(each->peer()).size() == 1;
        if (is_only && wanted != dialed.end() && !wanted->second.under_way) {
            each->serve_as(wanted->first);
            wanted->second.under_way = true;
            wanted->second.retry.cancel();
        }
    }
}

// The peer's link to us, which spared ours, has closed. Left to the next look,
// the two would be out of each other's reach for up to reconnect_max.
void message_hub::state::dial_where_rested(const std::string& peer) {
    const auto wanted = dialed.find(peer);
    if (wanted != dialed.end() && !wanted->second.under_way) {
        dial_later(peer, rested_wait + next_backoff(wanted->second));
    }
}

// Doubles up to the bound; half of it is random, so that peers that lost each
// other at one moment do not all come back at one moment.
duration message_hub::state::next_backoff(dialed_peer& target) {
    target.backoff =
        std::min(std::max(target.backoff * 2, options.reconnect_min),
                 options.reconnect_max);
    const auto half = target.backoff.count() / 2;
    std::uniform_int_distribution<duration::rep> jitter(0, half);
    return duration(half + jitter(random));
}

} // namespace waxwingvale::io
