#include <waxwingvale/io/http_server.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace waxwingvale::io {

namespace {

constexpr unsigned idle_connection_seconds = 120;
constexpr unsigned payload_too_large = 413;
constexpr unsigned service_unavailable = 503;

} // namespace

// One request from its first byte to the end of its answer.
struct http_responder::exchange {
    http_request request;
    bool too_large = false;
    bool handed_over = false;
    bool suspended = false;
    bool answered = false;
    bool finished = false;
    http_response answer;
    MHD_Connection* connection = nullptr;
    // The caller closed its connection before it was answered.
    bool caller_gone = false;
    // The library does not look at a connection whose request waits, so the
    // caller's leaving would go unnoticed and its request be run for nobody.
    struct ev_loop* loop = nullptr;
    ev_io caller_watch{};
    // Outlives the server, which may go while answers are awaited.
    std::shared_ptr<std::size_t> pending;
    std::function<void()> resume;

    void accept(http_response given) {
        if (answered || finished) {
            return;
        }
        answered = true;
        answer = std::move(given);
        go_on();
    }

    void go_on() {
        if (suspended) {
            suspended = false;
            ev_io_stop(loop, &caller_watch);
            resume();
        }
    }

    void watch_caller(struct ev_loop* on);
    void look_for_close();
};

void http_responder::exchange::watch_caller(struct ev_loop* on) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    loop = on;
    ev_io_init(
        &caller_watch,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<exchange*>(w->data)->look_for_close();
        },
        info->connect_fd, EV_READ);
    caller_watch.data = this;
    ev_io_start(loop, &caller_watch);
}

void http_responder::exchange::look_for_close() {
    char next = 0;
    const auto seen = recv(caller_watch.fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (seen > 0) {
        // The caller's next request waits behind this one and hides a close.
        ev_io_stop(loop, &caller_watch);
        return;
    }
    if (seen == 0 || (errno != EAGAIN && errno != EINTR)) {
        caller_gone = true;
        go_on();
    }
}

http_responder::http_responder(std::shared_ptr<exchange> of)
    : exchange_(std::move(of)) {}

void http_responder::operator()(http_response answer) const {
    exchange_->accept(std::move(answer));
}

bool http_responder::abandoned() const {
    const bool ended = exchange_->finished || exchange_->caller_gone;
    return ended && !exchange_->answered;
}

struct http_server::state {
    using exchange_ptr = std::shared_ptr<http_responder::exchange>;

    struct ev_loop* loop;
    http_server_options options;
    http_server::handler on_request;
    MHD_Daemon* daemon = nullptr;
    ev_io readable{};
    ev_timer timeout{};
    bool resumed = false; // since the library was run last
    // Alive as long as the server; responders that outlive it see it expire.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::shared_ptr<std::size_t> pending = std::make_shared<std::size_t>(0);
    std::set<exchange_ptr> suspended;

    // A connection was resumed; the library sends its answer when run next.
    void run_soon() {
        resumed = true;
        ev_feed_event(loop, &timeout, EV_TIMER);
    }

    void run() {
        // Handlers run in here, and may answer other requests than their own.
        // Stopping the timer below takes back the event that this feeds, and
        // the answers would wait for whatever wakes the server next, so the
        // library is run until nothing was resumed any more.
        do {
            resumed = false;
            MHD_run(daemon);
        } while (resumed);
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        ev_timer_stop(loop, &timeout);
        if (MHD_get_timeout(daemon, &wait_ms) == MHD_YES) {
            constexpr double ms_per_second = 1000.;
            ev_timer_set(&timeout, static_cast<double>(wait_ms) / ms_per_second,
                         0.);
            ev_timer_start(loop, &timeout);
        }
    }

    MHD_Result take(MHD_Connection* connection, const char* method,
                    const char* upload, std::size_t* upload_size,
                    exchange_ptr& held);
    void hand_over(const exchange_ptr& held);
    MHD_Result queue_answer(MHD_Connection* connection,
                            const exchange_ptr& held) const;
};

namespace {

using exchange_ptr = std::shared_ptr<http_responder::exchange>;

MHD_Result collect_header(void* headers, MHD_ValueKind, const char* name,
                          const char* value) {
    static_cast<http_headers*>(headers)->push_back(
        {name, value == nullptr ? "" : value});
    return MHD_YES;
}

std::string peer_address(MHD_Connection* connection) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) {
        return "";
    }
    const auto* address =
        reinterpret_cast<const sockaddr_in*>(info->client_addr);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof text);
    return text;
}

// Begins an exchange when the request line is read; the target is kept as the
// caller sent it, before the library takes the query apart.
void* begin_exchange(void*, const char* target, MHD_Connection* connection) {
    auto begun = std::make_shared<http_responder::exchange>();
    begun->request.target = target;
    begun->connection = connection;
    return new exchange_ptr(std::move(begun));
}

void end_exchange(void*, MHD_Connection*, void** held,
                  MHD_RequestTerminationCode) {
    auto* exchange = static_cast<exchange_ptr*>(*held);
    if (exchange == nullptr) {
        return;
    }
    (*exchange)->finished = true;
    if ((*exchange)->handed_over) {
        --*(*exchange)->pending;
    }
    delete exchange;
    *held = nullptr;
}

} // namespace

MHD_Result http_server::state::take(MHD_Connection* connection,
                                    const char* method, const char* upload,
                                    std::size_t* upload_size,
                                    exchange_ptr& held) {
    if (held->caller_gone) {
        return MHD_NO;
    }
    if (held->answered) {
        return queue_answer(connection, held);
    }
    if (held->request.method.empty()) {
        held->request.method = method;
        return MHD_YES;
    }
    if (*upload_size > 0) {
        const auto total = held->request.body.size() + *upload_size;
        held->too_large = held->too_large || total > options.body_limit;
        if (!held->too_large) {
            held->request.body.append(upload, *upload_size);
        }
        *upload_size = 0;
        return MHD_YES;
    }
    if (held->too_large) {
        held->answered = true;
        held->answer = {payload_too_large, {}, "the body is too large\n"};
        return queue_answer(connection, held);
    }
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_header,
                              &held->request.headers);
    held->request.peer = peer_address(connection);
    hand_over(held);
    if (held->answered) {
        return queue_answer(connection, held);
    }
    held->suspended = true;
    suspended.insert(held);
    MHD_suspend_connection(connection);
    held->watch_caller(loop);
    return MHD_YES;
}

void http_server::state::hand_over(const exchange_ptr& held) {
    held->handed_over = true;
    held->pending = pending;
    held->resume = [this, still = std::weak_ptr<bool>(alive),
                    waiting = std::weak_ptr<http_responder::exchange>(held)] {
        if (!still.expired()) {
            const auto exchange = waiting.lock();
            suspended.erase(exchange);
            MHD_resume_connection(exchange->connection);
            run_soon();
        }
    };
    ++*pending;
    on_request(std::move(held->request), http_responder(held));
}

MHD_Result http_server::state::queue_answer(MHD_Connection* connection,
                                            const exchange_ptr& held) const {
    auto& answer = held->answer;
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(), answer.body.data(), MHD_RESPMEM_PERSISTENT);
    for (const auto& header : answer.headers) {
        MHD_add_response_header(response, header.name.c_str(),
                                header.value.c_str());
    }
    const auto queued = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return queued;
}

http_server::http_server(kernel::event_loop& loop, http_server_options options)
    : state_(std::make_unique<state>()) {
    state_->loop = loop.native();
    state_->options = std::move(options);
}

http_server::~http_server() {
    if (state_->daemon == nullptr) {
        return;
    }
    // The library aborts the process when it is stopped with connections
    // suspended, so those that still wait are answered first, and those that
    // are read meanwhile at once.
    state_->on_request = [](const http_request&, http_responder respond) {
        respond({service_unavailable, {}, "stopping\n"});
    };
    const auto waiting = state_->suspended;
    for (const auto& exchange : waiting) {
        exchange->accept({service_unavailable, {}, "stopping\n"});
    }
    MHD_run(state_->daemon);
    ev_io_stop(state_->loop, &state_->readable);
    ev_timer_stop(state_->loop, &state_->timeout);
    state_->alive.reset();
    MHD_stop_daemon(state_->daemon);
}

result<void> http_server::start(handler on_request) {
    state_->on_request = std::move(on_request);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(state_->options.port);
    const auto& wanted = state_->options.address;
    if (inet_pton(AF_INET, wanted.c_str(), &address.sin_addr) != 1) {
        return error{error_code::invalid_argument, "listen for http", wanted,
                     "not an IP number"};
    }
    const auto answer = [](void* context, MHD_Connection* connection,
                           const char*, const char* method, const char*,
                           const char* upload, std::size_t* upload_size,
                           void** held) -> MHD_Result {
        return static_cast<state*>(context)->take(
            connection, method, upload, upload_size,
            *static_cast<exchange_ptr*>(*held));
    };
    state_->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        state_->options.port, nullptr, nullptr, answer, state_.get(),
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
        MHD_OPTION_URI_LOG_CALLBACK, begin_exchange, state_.get(),
        MHD_OPTION_NOTIFY_COMPLETED, end_exchange, state_.get(),
        MHD_OPTION_CONNECTION_LIMIT, state_->options.connection_limit,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, state_->options.connection_memory,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_connection_seconds, MHD_OPTION_END);
    if (state_->daemon == nullptr) {
        return error{error_code::unavailable, "listen for http",
                     wanted + ":" + std::to_string(state_->options.port),
                     "the address is in use or not ours"};
    }
    const auto* info =
        MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(
        &state_->readable,
        [](struct ev_loop*, ev_io* w, int) {
            static_cast<state*>(w->data)->run();
        },
        info->epoll_fd, EV_READ);
    ev_timer_init(
        &state_->timeout,
        [](struct ev_loop*, ev_timer* w, int) {
            static_cast<state*>(w->data)->run();
        },
        0., 0.);
    state_->readable.data = state_.get();
    state_->timeout.data = state_.get();
    ev_io_start(state_->loop, &state_->readable);
    return success();
}

std::uint16_t http_server::port() const {
    const auto* info =
        MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

void http_server::stop_accepting() {
    const auto listener = MHD_quiesce_daemon(state_->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

std::size_t http_server::pending() const {
    return *state_->pending;
}

} // namespace waxwingvale::io
