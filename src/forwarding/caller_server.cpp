#include <waxwingvale/forwarding/caller_server.hpp>

#include <cerrno>
#include <ev.h>
#include <limits>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include "forwarding/caller_connection.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::forwarding {

namespace {

using namespace std::chrono_literals;

// Connections are looked at this often for heads and requests that do not
// come; a bound of seconds is kept to a tenth or so.
constexpr duration look_period = 250ms;
// A caller that does not confirm what we sent for so long has gone; its
// connection would else be open for a quarter of an hour.
constexpr duration silence_limit = 10s;
// Connections taken in one go, so that a rush of them does not hold up the
// requests that are under way.
constexpr int accept_batch = 32;
// Without a descriptor the listener stays ready, and would be asked again and
// again.
constexpr duration accept_pause = 100ms;

overload_guard_ptr unlimited_guard(kernel::event_loop& loop,
                                   kernel::timer_service& timers) {
    return std::make_shared<overload_guard>(
        loop, timers,
        overload_guard::limits{std::numeric_limits<std::size_t>::max(), 0});
}

} // namespace

caller_limits small_requests() {
    caller_limits limits;
    limits.head = 16UL * 1024; // bytes
    limits.body = 4UL * 1024;  // bytes
    limits.head_time = 3s;
    limits.idle_time = 60s;
    return limits;
}

struct caller_server::state {
    state(kernel::event_loop& on, kernel::timer_service& with,
          caller_server_options as)
        : loop(on), timers(with), options(std::move(as)) {}

    // Takes connections that wait, up to a batch; how many there were.
    int accept_waiting();
    // Closes a connection that nobody needs; false if there is none.
    bool make_room(overload_limit limit);
    void refuse_connection(int descriptor, const std::string& peer);
    void add_connection(int descriptor, std::string peer);
    // Whether a descriptor may be there now.
    bool find_descriptor();
    void pause_accepting();
    void forget(caller_connection& closed);
    void look(time_point now);
    void close_listener();

    kernel::event_loop& loop;
    kernel::timer_service& timers;
    caller_server_options options;
    caller_connection_frame frame;
    int listener = -1;
    std::uint16_t port = 0;
    ev_io accepting{};
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>>
        connections;
    kernel::timer_service::subscription looking;
    kernel::timer_service::subscription accepting_again;
};

int caller_server::state::accept_waiting() {
    int taken = 0;
    for (; taken < accept_batch; ++taken) {
        std::string peer;
        const int descriptor = io::accept_connection(listener, &peer);
        if (descriptor < 0 && io::is_own_limit(errno) && find_descriptor()) {
            continue;
        }
        if (descriptor < 0) {
            break;
        }
        const bool room = connections.size() < options.connection_limit ||
                          make_room(overload_limit::connections);
        if (room) {
            add_connection(descriptor, std::move(peer));
        } else {
            refuse_connection(descriptor, peer);
        }
    }
    return taken;
}

void caller_server::state::add_connection(int descriptor, std::string peer) {
    ++frame.counters.accepted;
    io::limit_silence(descriptor, silence_limit);
    auto added = std::make_shared<caller_connection>(loop, descriptor,
                                                     std::move(peer), frame);
    connections.emplace(added.get(), added);
}

void caller_server::state::refuse_connection(int descriptor,
                                             const std::string& peer) {
    ++frame.counters.refused_connection_limit;
    frame.guard->note({overload_limit::connections, peer, 0});
    ::close(descriptor);
}

bool caller_server::state::make_room(overload_limit limit) {
    std::vector<decision::open_connection> states;
    std::vector<caller_connection*> open;
    for (const auto& entry : connections) {
        if (const auto seen = entry.first->replaceable()) {
            states.push_back(*seen);
            open.push_back(entry.first);
        }
    }
    const auto chosen = decision::choose_to_replace(states);
    if (chosen == states.size()) {
        return false;
    }
    ++frame.counters.replaced;
    open[chosen]->give_way(limit);
    return true;
}

bool caller_server::state::find_descriptor() {
    if (make_room(overload_limit::descriptors)) {
        return true;
    }
    frame.guard->note({overload_limit::descriptors, "", 0});
    pause_accepting();
    return false;
}

void caller_server::state::pause_accepting() {
    ev_io_stop(loop.native(), &accepting);
    accepting_again = timers.after(accept_pause, [this](time_point) {
        if (listener >= 0) {
            ev_io_start(loop.native(), &accepting);
        }
    });
}

void caller_server::state::forget(caller_connection& closed) {
    const auto found = connections.find(&closed);
    if (found == connections.end()) {
        return;
    }
    // Its code is still on the stack.
    loop.defer([kept = std::move(found->second)] {});
    connections.erase(found);
}

void caller_server::state::look(time_point now) {
    // Closing a connection changes the table.
    std::vector<std::shared_ptr<caller_connection>> open;
    open.reserve(connections.size());
    for (const auto& entry : connections) {
        open.push_back(entry.second);
    }
    for (const auto& each : open) {
        each->look_at_time(now);
    }
}

void caller_server::state::close_listener() {
    if (listener >= 0) {
        ev_io_stop(loop.native(), &accepting);
        ::close(listener);
        listener = -1;
    }
}

caller_server::caller_server(kernel::event_loop& loop,
                             kernel::timer_service& timers,
                             caller_server_options options)
    : state_(std::make_unique<state>(loop, timers, std::move(options))) {
    auto& frame = state_->frame;
    const auto& shared = state_->options.guard;
    frame.guard = shared ? shared : unlimited_guard(loop, timers);
    frame.receive_buffer = state_->options.receive_buffer;
    state_->frame.now = [this] { return state_->timers.now(); };
    state_->frame.on_closed = [this](caller_connection& closed) {
        state_->forget(closed);
    };
}

caller_server::~caller_server() {
    state_->close_listener();
    for (const auto& entry : state_->connections) {
        entry.second->report_stopped();
    }
    // Nobody is told of connections that close because the server goes.
    state_->frame.on_closed = [](caller_connection&) {};
}

result<void> caller_server::start(handler on_request) {
    return start(std::move(on_request), state_->options.port);
}

result<void> caller_server::start(handler on_request, std::uint16_t port) {
    state_->frame.on_request = std::move(on_request);
    const auto opened = io::open_listener(state_->options.address, port);
    if (!opened) {
        return opened.error();
    }
    state_->listener = opened.value();
    if (state_->options.receive_buffer > 0) {
        io::limit_receive_buffer(state_->listener,
                                 state_->options.receive_buffer);
    }
    state_->port = io::bound_port(state_->listener);
    ev_io_init(
        &state_->accepting,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<state*>(w->data)->accept_waiting();
        },
        state_->listener, EV_READ);
    state_->accepting.data = state_.get();
    ev_io_start(state_->loop.native(), &state_->accepting);
    state_->looking = state_->timers.every(
        look_period, [this](time_point now) { state_->look(now); });
    return success();
}

std::uint16_t caller_server::port() const {
    return state_->port;
}

void caller_server::on_request_ended(end_handler on_end) {
    state_->frame.on_request_ended = std::move(on_end);
}

void caller_server::change_limits(const caller_limits& limits) {
    state_->frame.limits = limits;
}

void caller_server::ask_to_close() {
    state_->frame.ask_to_close = true;
}

// Connections that wait to be taken would be reset with the listener, and with
// them requests that their callers have sent.
void caller_server::stop_accepting() {
    if (state_->listener >= 0) {
        while (state_->accept_waiting() == accept_batch) {
        }
    }
    state_->close_listener();
}

void caller_server::close_idle() {
    std::vector<std::shared_ptr<caller_connection>> open;
    for (const auto& entry : state_->connections) {
        open.push_back(entry.second);
    }
    for (const auto& each : open) {
        each->close_if_idle();
    }
}

std::size_t caller_server::pending() const {
    return state_->frame.pending;
}

std::size_t caller_server::connections() const {
    return state_->connections.size();
}

const caller_server_counters& caller_server::counters() const {
    return state_->frame.counters;
}

} // namespace waxwingvale::forwarding
