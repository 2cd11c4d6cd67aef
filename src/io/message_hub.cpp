#include <waxwingvale/io/message_hub.hpp>

#include <algorithm>
#include <cerrno>
#include <unistd.h>
#include <utility>

#include "io/message_hub_state.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::io {

namespace {

// Links are looked at this often: pings, silence and slow openings.
constexpr duration tick_period = std::chrono::milliseconds(250);
// A tick later than this means that the process was stopped.
constexpr duration late_tick = std::chrono::seconds(1);
// Connections taken in one go, so that a rush of them does not hold up the
// links that are open.
constexpr int accept_batch = 64;
// What somebody may send ahead who has not proved itself.
constexpr std::size_t unproven_receive_buffer = 16 * 1024; // bytes
constexpr duration accept_pause = std::chrono::milliseconds(100);

} // namespace

message_hub::state::state(kernel::event_loop& on, kernel::timer_service& with,
                          message_hub_options as)
    : loop(on), timers(with), options(std::move(as)), last_tick(with.now()) {
    ticking = timers.every(tick_period, [this](time_point now) { tick(now); });
}

message_hub::state::~state() {
    if (listener >= 0) {
        ev_io_stop(loop.native(), &accepting);
        ::close(listener);
    }
}

void message_hub::state::tick(time_point now) {
    const auto passed = now - std::exchange(last_tick, now);
    const bool was_stopped = passed > late_tick;
    // Closing a link changes the list; the copy keeps each alive meanwhile.
    const std::vector<std::shared_ptr<link>> open(links.begin(), links.end());
    for (const auto& each : open) {
        if (was_stopped) {
            each->forgive_silence(passed - tick_period, now);
        }
        each->tick(now);
    }
}

void message_hub::state::accept_waiting() {
    for (int taken = 0; taken < accept_batch; ++taken) {
        const int descriptor = accept_connection(listener);
        if (descriptor < 0 && is_own_limit(errno)) {
            if (drop_oldest_unproven()) {
                continue;
            }
            pause_accepting();
        }
        if (descriptor < 0) {
            return;
        }
        if (unproven() >= options.unproven_limit) {
            ++counters.refused_link_limit;
            drop_oldest_unproven();
        }
        if (links.size() >= options.link_limit) {
            ++counters.refused_link_limit;
            if (!drop_oldest_unproven()) {
                ::close(descriptor);
                continue;
            }
        }
        link_origin origin;
        origin.descriptor = descriptor;
        add_link(std::move(origin));
    }
}

std::size_t message_hub::state::unproven() const {
    return static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(), [](const auto& each) {
            return !each->ready() && !each->dialed();
        }));
}

// Without a descriptor the listener stays ready, and would be asked again and
// again.
void message_hub::state::pause_accepting() {
    ev_io_stop(loop.native(), &accepting);
    accepting_again = timers.after(accept_pause, [this](time_point) {
        if (listener >= 0) {
            ev_io_start(loop.native(), &accepting);
        }
    });
}

bool message_hub::state::drop_oldest_unproven() {
    const auto oldest =
        std::find_if(links.begin(), links.end(), [](const auto& each) {
            return !each->dialed() && !each->ready();
        });
    if (oldest == links.end()) {
        return false;
    }
    const auto dropped = *oldest;
    dropped->close();
    return true;
}

std::shared_ptr<link> message_hub::state::add_link(link_origin origin) {
    // The handlers need the link's own address, which exists only after.
    auto self = std::make_shared<link*>(nullptr);
    io::link_handlers handlers;
    handlers.on_ready = [this, self] { on_ready(**self); };
    handlers.on_message = [this, self](const std::string& kind,
                                       const link_bytes& body) {
        deliver(**self, kind, body);
    };
    handlers.on_closed = [this, self] { on_closed(**self); };
    auto added = std::make_shared<link>(loop, websockets, options, counters,
                                        std::move(origin), std::move(handlers));
    *self = added.get();
    links.push_back(added);
    added->start(timers.now());
    return added;
}

link* message_hub::state::newest(const std::string& peer) const {
    const auto found = by_peer.find(peer);
    return found == by_peer.end() ? nullptr : found->second.back();
}

void message_hub::state::on_ready(link& of) {
    const auto peer = of.peer();
    auto& open = by_peer[peer];
    open.push_back(&of);
    const auto target = dialed.find(of.target());
    if (of.dialed() && target != dialed.end()) {
        target->second.backoff = duration::zero();
    }
    if (open.size() == 1) {
        tell_change(peer, true);
    }
}

void message_hub::state::on_closed(link& of) {
    const auto held =
        std::find_if(links.begin(), links.end(),
                     [&](const auto& each) { return each.get() == &of; });
    if (held != links.end()) {
        // Its code is still on the stack.
        loop.defer([kept = *held] {});
        links.erase(held);
    }
    const auto open = by_peer.find(of.peer());
    bool was_last = false;
    bool others_stay = false;
    if (open != by_peer.end()) {
        auto& list = open->second;
        const auto place = std::find(list.begin(), list.end(), &of);
        if (place != list.end()) {
            list.erase(place);
            was_last = list.empty();
            others_stay = !list.empty();
        }
        if (list.empty()) {
            by_peer.erase(open);
        }
    }
    if (of.dialed()) {
        const auto target = dialed.find(of.target());
        if (target != dialed.end() && target->second.under_way) {
            target->second.under_way = false;
            dial_later(of.target(), next_backoff(target->second));
        }
    }
    if (was_last) {
        dial_where_rested(of.peer());
        tell_change(of.peer(), false);
    } else if (others_stay) {
        for (const auto& handler : replaced_handlers) {
            handler(of.peer());
        }
    }
}

void message_hub::state::deliver(const link& from, const std::string& kind,
                                 const payload& body) {
    const auto handler = message_handlers.find(kind);
    if (handler != message_handlers.end()) {
        handler->second(from.peer(), body);
    }
}

void message_hub::state::tell_change(const std::string& peer, bool up) {
    for (const auto& handler : link_handlers) {
        handler(peer, up);
    }
}

message_hub::message_hub(kernel::event_loop& loop,
                         kernel::timer_service& timers,
                         message_hub_options options)
    : state_(std::make_unique<state>(loop, timers, std::move(options))) {}

message_hub::~message_hub() {
    // Nobody is told of links that close because the hub goes.
    state_->link_handlers.clear();
    state_->replaced_handlers.clear();
    state_->dialed.clear();
}

result<void> message_hub::listen(const std::string& address,
                                 std::uint16_t port) {
    const auto opened = open_listener(address, port);
    if (!opened) {
        return opened.error();
    }
    state_->listener = opened.value();
    limit_receive_buffer(state_->listener, unproven_receive_buffer);
    ev_io_init(
        &state_->accepting,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<state*>(w->data)->accept_waiting();
        },
        state_->listener, EV_READ);
    state_->accepting.data = state_.get();
    ev_io_start(state_->loop.native(), &state_->accepting);
    return success();
}

std::uint16_t message_hub::port() const {
    return state_->listener < 0 ? 0 : bound_port(state_->listener);
}

void message_hub::connect(const std::string& peer_name, const std::string& host,
                          std::uint16_t port) {
    state_->dial_as(peer_name, peer_name, host, port);
}

void message_hub::connect_address(const std::string& host, std::uint16_t port) {
    state_->dial_as(address_of(host, port), "", host, port);
}

void message_hub::disconnect_address(const std::string& host,
                                     std::uint16_t port) {
    const auto target = address_of(host, port);
    state_->keep_if_wanted(target);
    state_->stop_dialing(target);
}

void message_hub::disconnect(const std::string& peer_name) {
    state_->stop_dialing(peer_name);
}

bool message_hub::send(const std::string& peer_name, const std::string& kind,
                       payload body) {
    if (body.size() > state_->options.message_limit) {
        ++state_->counters.refused_too_large;
        return false;
    }
    auto* to = state_->newest(peer_name);
    if (to == nullptr) {
        return false;
    }
    state_->traffic.record(peer_name, kind, body.size());
    return to->send(kind, std::move(body));
}

void message_hub::on_message(const std::string& kind, message_handler handler) {
    state_->message_handlers[kind] = std::move(handler);
}

void message_hub::on_link_change(link_handler handler) {
    state_->link_handlers.push_back(std::move(handler));
}

void message_hub::on_link_replaced(peer_handler handler) {
    state_->replaced_handlers.push_back(std::move(handler));
}

bool message_hub::connected(const std::string& peer_name) const {
    return state_->newest(peer_name) != nullptr;
}

std::vector<std::string> message_hub::connected_peers() const {
    std::vector<std::string> peers;
    for (const auto& entry : state_->by_peer) {
        peers.push_back(entry.first);
    }
    return peers;
}

const message_hub_counters& message_hub::counters() const {
    return state_->counters;
}

link_traffic& message_hub::traffic() {
    return state_->traffic;
}

const link_traffic& message_hub::traffic() const {
    return state_->traffic;
}

} // namespace waxwingvale::io
