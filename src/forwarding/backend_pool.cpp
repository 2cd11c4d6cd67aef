#include <waxwingvale/forwarding/backend_pool.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "forwarding/backend_connection.hpp"
#include "io/stream_socket.hpp"

namespace waxwingvale::forwarding {

namespace {

using namespace std::chrono_literals;

// An idle connection is closed after this long, and earlier when the server
// said that it would; then with this margin, so that no request meets its
// close on the way.
constexpr duration idle_limit = 8s;
constexpr duration idle_margin = 1s;
// Idle connections are looked at this often.
constexpr duration look_period = 500ms;
// A server that no longer confirms what was sent to it has lost its machine or
// its network.
constexpr duration silence_limit = 10s;
constexpr std::size_t default_connections = 256; // to one backend server

} // namespace

struct backend_pool::state {
    using connection_ptr = std::shared_ptr<backend_connection>;

    struct open_call {
        connection_ptr connection; // null: the call failed before it had one
        handler on_done;
        kernel::timer_service::subscription connecting;
    };
    struct idle_connection {
        connection_ptr connection;
        time_point since;
        duration keep;
    };
    struct server_connections {
        std::vector<idle_connection> idle; // longest idle first
        std::size_t open = 0;              // idle ones included
    };

    state(kernel::event_loop& on, kernel::timer_service& with)
        : loop(on), timers(with) {}

    connection_ptr take_kept(const backend_call& call);
    connection_ptr latest_kept(const backend_call& call) const;
    void unlist_idle(const backend_connection& connection);
    result<connection_ptr> open(const backend_call& call, call_id id);
    void fail_soon(call_id id, error why);
    void finish(call_id id, backend_result ended);
    void keep(const connection_ptr& connection);
    void drop(const connection_ptr& connection);
    void lose_idle(const backend_connection* lost);
    void look(time_point now);

    kernel::event_loop& loop;
    kernel::timer_service& timers;
    backend_pool_counters counters;
    std::size_t limit = default_connections;
    std::size_t most_idle = default_connections;
    std::function<void(const malformed_bytes&)> on_malformed;
    kernel::memory_account_ptr account; // null: nothing is counted
    call_id next_id = 1;
    std::unordered_map<call_id, open_call> calls;
    // The call that is on a connection, for its handlers.
    std::unordered_map<const backend_connection*, call_id> on_connection;
    std::map<std::string, server_connections> servers;
    kernel::timer_service::subscription looking;
};

// The connection used last is the one most likely to be open.
backend_pool::state::connection_ptr
backend_pool::state::latest_kept(const backend_call& call) const {
    const auto found = servers.find(call.backend_server);
    if (found == servers.end()) {
        return nullptr;
    }
    const auto& idle = found->second.idle;
    const auto latest =
        std::find_if(idle.rbegin(), idle.rend(), [&](const auto& each) {
            return each.connection->purpose() == call.purpose;
        });
    if (latest == idle.rend()) {
        return nullptr;
    }
    const auto age = timers.now() - latest->since;
    return age > std::min(call.kept_for, latest->keep) ? nullptr
                                                       : latest->connection;
}

void backend_pool::state::unlist_idle(const backend_connection& connection) {
    auto& idle = servers.at(connection.backend_server()).idle;
    idle.erase(std::find_if(idle.begin(), idle.end(), [&](const auto& each) {
        return each.connection.get() == &connection;
    }));
}

// Its server's close may have come and not be read; a request that is sent then
// is lost, and nobody can say whether it ran.
backend_pool::state::connection_ptr
backend_pool::state::take_kept(const backend_call& call) {
    while (auto latest = latest_kept(call)) {
        latest->catch_up();
        if (latest->usable()) {
            unlist_idle(*latest);
            return latest;
        }
    }
    return nullptr;
}

result<backend_pool::state::connection_ptr>
backend_pool::state::open(const backend_call& call, call_id id) {
    auto& server = servers[call.backend_server];
    const auto address = call.host + ":" + std::to_string(call.port);
    if (server.open >= limit && !server.idle.empty()) {
        const auto longest_idle = server.idle.front().connection;
        server.idle.erase(server.idle.begin());
        drop(longest_idle);
    }
    if (servers[call.backend_server].open >= limit) {
        ++counters.no_room;
        return error{error_code::resource_exhausted, "connect", address,
                     "the limit of connections is reached"};
    }
    const auto descriptor = io::start_connect(call.host, call.port);
    if (!descriptor) {
        ++counters.connections_failed;
        return descriptor.error();
    }
    io::limit_silence(descriptor.value(), silence_limit);
    backend_connection_handlers handlers;
    auto self = std::make_shared<const backend_connection*>(nullptr);
    handlers.on_done = [this, self](backend_result ended) {
        const auto on = on_connection.find(*self);
        if (on != on_connection.end()) {
            finish(on->second, std::move(ended));
        }
    };
    handlers.on_lost = [this, self] { lose_idle(*self); };
    handlers.on_malformed = [this, self](const std::string& detail) {
        if (on_malformed) {
            on_malformed(
                {(*self)->backend_server(), (*self)->purpose(), detail});
        }
    };
    auto opened = std::make_shared<backend_connection>(
        loop, descriptor.value(),
        connection_target{call.backend_server, address, call.purpose},
        timers.now(), std::move(handlers), account);
    *self = opened.get();
    ++servers[call.backend_server].open;
    ++counters.connections_opened;
    calls.at(id).connecting =
        timers.after(call.connect_timeout, [this, id](time_point) {
            const auto found = calls.find(id);
            if (found != calls.end() &&
                !found->second.connection->connected()) {
                ++counters.connections_failed;
                found->second.connection->give_up(error_code::timed_out,
                                                  "no connection in time");
            }
        });
    return opened;
}

void backend_pool::state::fail_soon(call_id id, error why) {
    loop.defer([this, id, why = std::move(why), began = timers.now()] {
        finish(id, {why, false, std::nullopt, began});
    });
}

void backend_pool::state::finish(call_id id, backend_result ended) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls.erase(found);
    if (call.connection) {
        on_connection.erase(call.connection.get());
        counters.stray_answers += call.connection->stray_answers();
        if (call.connection->usable()) {
            keep(call.connection);
        } else {
            drop(call.connection);
        }
    }
    call.on_done(std::move(ended));
}

void backend_pool::state::keep(const connection_ptr& connection) {
    const auto said = connection->kept_by_server();
    const auto keep_for =
        said ? std::max<duration>(*said - idle_margin, duration::zero())
             : idle_limit;
    auto& idle = servers[connection->backend_server()].idle;
    idle.push_back({connection, timers.now(), std::min(keep_for, idle_limit)});
    if (idle.size() > most_idle) {
        const auto longest_idle = idle.front().connection;
        idle.erase(idle.begin());
        drop(longest_idle);
    }
}

void backend_pool::state::drop(const connection_ptr& connection) {
    connection->close();
    const auto found = servers.find(connection->backend_server());
    if (found != servers.end() && --found->second.open == 0) {
        servers.erase(found);
    }
    // Its code may still be on the stack.
    loop.defer([kept = connection] {});
}

void backend_pool::state::lose_idle(const backend_connection* lost) {
    const auto found = servers.find(lost->backend_server());
    if (found == servers.end()) {
        return;
    }
    auto& idle = found->second.idle;
    const auto place =
        std::find_if(idle.begin(), idle.end(), [&](const auto& each) {
            return each.connection.get() == lost;
        });
    if (place == idle.end()) {
        return;
    }
    const auto connection = std::move(place->connection);
    counters.stray_answers += connection->stray_answers();
    idle.erase(place);
    drop(connection);
}

void backend_pool::state::look(time_point now) {
    std::vector<connection_ptr> old;
    for (auto& entry : servers) {
        auto& idle = entry.second.idle;
        const auto is_old = [&](const idle_connection& each) {
            return now - each.since > each.keep;
        };
        for (const auto& each : idle) {
            if (is_old(each)) {
                old.push_back(each.connection);
            }
        }
        idle.erase(std::remove_if(idle.begin(), idle.end(), is_old),
                   idle.end());
    }
    for (const auto& each : old) {
        drop(each);
    }
}

backend_pool::backend_pool(kernel::event_loop& loop,
                           kernel::timer_service& timers)
    : state_(std::make_unique<state>(loop, timers)) {
    state_->looking = timers.every(
        look_period, [this](time_point now) { state_->look(now); });
}

backend_pool::~backend_pool() {
    state_->calls.clear();
}

backend_pool::call_id backend_pool::send(backend_call call, handler on_done,
                                         long_answer_handlers on_long) {
    const auto id = state_->next_id++;
    state_->calls[id].on_done = std::move(on_done);
    auto connection = state_->take_kept(call);
    if (connection) {
        ++state_->counters.reused;
    } else {
        auto opened = state_->open(call, id);
        if (!opened) {
            state_->fail_soon(id, opened.error());
            return id;
        }
        connection = std::move(opened.value());
    }
    state_->calls.at(id).connection = connection;
    state_->on_connection[connection.get()] = id;
    connection->send(std::move(call), std::move(on_long));
    return id;
}

void backend_pool::cancel(call_id call) {
    const auto found = state_->calls.find(call);
    if (found == state_->calls.end()) {
        return;
    }
    const auto cancelled = std::move(found->second);
    state_->calls.erase(found);
    if (cancelled.connection) {
        state_->on_connection.erase(cancelled.connection.get());
        state_->drop(cancelled.connection);
    }
}

bool backend_pool::sent(call_id call) const {
    const auto found = state_->calls.find(call);
    return found != state_->calls.end() && found->second.connection &&
           found->second.connection->sent();
}

bool backend_pool::unsent(call_id call) const {
    return state_->calls.count(call) != 0 && !sent(call);
}

void backend_pool::pause(call_id call) {
    const auto found = state_->calls.find(call);
    if (found != state_->calls.end() && found->second.connection) {
        found->second.connection->pause();
    }
}

void backend_pool::resume(call_id call) {
    const auto found = state_->calls.find(call);
    if (found != state_->calls.end() && found->second.connection) {
        found->second.connection->resume();
    }
}

void backend_pool::charge_to(const kernel::memory_account_ptr& account) {
    state_->account = account;
}

void backend_pool::limit_connections(std::size_t open, std::size_t idle) {
    state_->limit = std::max<std::size_t>(open, 1);
    state_->most_idle = idle;
}

void backend_pool::on_malformed(
    std::function<void(const malformed_bytes&)> told) {
    state_->on_malformed = std::move(told);
}

void backend_pool::forget(const std::string& backend_server) {
    const auto found = state_->servers.find(backend_server);
    if (found == state_->servers.end()) {
        return;
    }
    const auto idle = std::exchange(found->second.idle, {});
    for (const auto& each : idle) {
        state_->drop(each.connection);
    }
}

std::size_t backend_pool::open_calls() const {
    return state_->calls.size();
}

const backend_pool_counters& backend_pool::counters() const {
    return state_->counters;
}

} // namespace waxwingvale::forwarding
