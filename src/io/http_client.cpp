#include <waxwingvale/io/http_client.hpp>

#include <algorithm>
#include <curl/curl.h>
#include <ev.h>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "io/answer_parser.hpp"

namespace waxwingvale::io {

namespace {

constexpr double ms_per_second = 1000.;
// A connection kept idle for longer is not used again: what stands between
// the two ends may have forgotten it.
constexpr long idle_connection_seconds = 10;
constexpr unsigned first_final_status = 200;

long to_milliseconds(duration value) {
    const auto rounded =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return std::max<long>(1, static_cast<long>(rounded));
}

// One call in progress; owns what libcurl points into.
struct transfer {
    http_client::call_id id = 0;
    http_call call;
    http_client::handler on_done;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    http_response response;
    std::uint64_t received = 0; // bytes
    std::size_t body_limit = 0;
    std::string head; // as far as it came
    bool head_read = false;
    // Why the bytes are no answer. The library takes many that are none.
    std::optional<error> fault;

    ~transfer() {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }

    // Each tells whether the bytes can be an answer's.
    bool take_line(std::string_view line);
    bool take_head();
    bool check_trailer(std::string_view line);
};

// One line of a head, or one behind the last chunk, with its end.
bool transfer::take_line(std::string_view line) {
    if (head_read) {
        return check_trailer(line);
    }
    head += line;
    const bool is_whole = line == "\r\n" || line == "\n";
    return !is_whole || take_head();
}

bool transfer::take_head() {
    auto read = parse_answer_head(std::exchange(head, {}));
    if (!read) {
        fault = read.error();
        return false;
    }
    if (read.value().status >= first_final_status) {
        head_read = true;
        response = std::move(read.value());
    }
    return true;
}

// Fields behind the body are no part of the head.
bool transfer::check_trailer(std::string_view line) {
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const auto read =
        parse_answer_head(status_line + std::string(line) + "\r\n");
    if (!read) {
        fault = read.error();
    }
    return read.has_value();
}

std::size_t take_body(char* data, std::size_t size, std::size_t count,
                      void* context) {
    auto* self = static_cast<transfer*>(context);
    const auto bytes = size * count;
    self->received += bytes;
    if (self->response.body.size() + bytes > self->body_limit) {
        return 0;
    }
    self->response.body.append(data, bytes);
    return bytes;
}

std::size_t take_header(char* data, std::size_t size, std::size_t count,
                        void* context) {
    auto* self = static_cast<transfer*>(context);
    const auto bytes = size * count;
    self->received += bytes;
    return self->take_line({data, bytes}) ? bytes : 0;
}

error_code code_of(CURLcode code) {
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return error_code::timed_out;
    case CURLE_COULDNT_CONNECT:
        return error_code::unavailable;
    case CURLE_WRITE_ERROR:
        return error_code::resource_exhausted;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return error_code::malformed;
    default:
        return error_code::unavailable;
    }
}

std::string peer_of(const http_call& call) {
    return call.host + ":" + std::to_string(call.port);
}

// Without an error of the library's: it takes a part of a head for the whole.
error error_of(const transfer& ended, CURLcode code, bool sent) {
    const char* step = sent ? "await answer" : "connect";
    const auto peer = peer_of(ended.call);
    if (ended.fault) {
        return {ended.fault->code, step, peer, ended.fault->detail};
    }
    if (code == CURLE_OK) {
        return {error_code::unavailable, step, peer,
                "the answer was cut short"};
    }
    return {code_of(code), step, peer, curl_easy_strerror(code)};
}

} // namespace

struct http_client::state {
    struct socket_watch {
        ev_io watcher{};
        state* self = nullptr;
    };

    struct ev_loop* loop = nullptr;
    limits bounds;
    CURLM* multi = nullptr;
    ev_timer timeout{};
    call_id next_id = 1;
    std::unordered_map<call_id, std::unique_ptr<transfer>> transfers;
    std::map<curl_socket_t, std::unique_ptr<socket_watch>> sockets;

    void prepare(transfer& started) const;
    void watch(curl_socket_t socket, int what);
    void schedule(long wait_ms);
    void drive(curl_socket_t socket, int events);
    void finish_done();
    void finish(CURL* easy, CURLcode code);
};

void http_client::state::prepare(transfer& started) const {
    auto& call = started.call;
    CURL* easy = started.easy;
    const auto url = "http://" + peer_of(call) + call.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &started);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_milliseconds(call.timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     to_milliseconds(call.connect_timeout));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, idle_connection_seconds);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &started);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &started);
    if (call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (!call.body.empty() || call.method == "POST") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    const auto add = [&](const std::string& line) {
        started.headers = curl_slist_append(started.headers, line.c_str());
    };
    // Without these the library would add its own, which the caller never
    // sent; "Expect" would also hold the body back for a round trip.
    add("Expect:");
    if (find_header(call.headers, "Content-Type") == nullptr) {
        add("Content-Type:");
    }
    if (find_header(call.headers, "Accept") == nullptr) {
        add("Accept:");
    }
    for (const auto& header : call.headers) {
        add(header.value.empty() ? header.name + ";"
                                 : header.name + ": " + header.value);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, started.headers);
}

void http_client::state::watch(curl_socket_t socket, int what) {
    auto& entry = sockets[socket];
    if (!entry) {
        entry = std::make_unique<socket_watch>();
        entry->self = this;
        ev_io_init(
            &entry->watcher,
            [](struct ev_loop*, ev_io* w, int events) {
                int ready = 0;
                ready |= (events & EV_READ) != 0 ? CURL_CSELECT_IN : 0;
                ready |= (events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0;
                static_cast<socket_watch*>(w->data)->self->drive(w->fd, ready);
            },
            socket, 0);
        entry->watcher.data = entry.get();
    }
    ev_io_stop(loop, &entry->watcher);
    if (what == CURL_POLL_REMOVE) {
        sockets.erase(socket);
        return;
    }
    int events = 0;
    events |= (what & CURL_POLL_IN) != 0 ? EV_READ : 0;
    events |= (what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0;
    ev_io_set(&entry->watcher, socket, events);
    ev_io_start(loop, &entry->watcher);
}

void http_client::state::schedule(long wait_ms) {
    ev_timer_stop(loop, &timeout);
    if (wait_ms < 0) {
        return;
    }
    ev_timer_set(&timeout, static_cast<double>(wait_ms) / ms_per_second, 0.);
    ev_timer_start(loop, &timeout);
}

void http_client::state::drive(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi, socket, events, &running);
    finish_done();
}

void http_client::state::finish_done() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void http_client::state::finish(CURL* easy, CURLcode code) {
    transfer* done = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &done);
    long request_bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_multi_remove_handle(multi, easy);
    const auto held = std::move(transfers.at(done->id));
    transfers.erase(done->id);
    const bool sent = request_bytes > 0;
    if (code == CURLE_OK && held->head_read) {
        held->on_done({std::move(held->response), sent});
        return;
    }
    held->on_done({error_of(*held, code, sent), sent});
}

http_client::http_client(kernel::event_loop& loop, limits bounds)
    : state_(std::make_unique<state>()) {
    static const bool initialised = [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        return true;
    }();
    static_cast<void>(initialised);
    state_->loop = loop.native();
    state_->bounds = bounds;
    state_->multi = curl_multi_init();
    CURLM* multi = state_->multi;
    curl_multi_setopt(
        multi, CURLMOPT_SOCKETFUNCTION,
        +[](CURL*, curl_socket_t socket, int what, void* context,
            void*) -> int {
            static_cast<state*>(context)->watch(socket, what);
            return 0;
        });
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, state_.get());
    curl_multi_setopt(
        multi, CURLMOPT_TIMERFUNCTION,
        +[](CURLM*, long wait_ms, void* context) -> int {
            static_cast<state*>(context)->schedule(wait_ms);
            return 0;
        });
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, state_.get());
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(bounds.connections_per_host));
    curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(bounds.connections_total));
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(bounds.connections_total));
    ev_timer_init(
        &state_->timeout,
        [](struct ev_loop*, ev_timer* w, int) {
            static_cast<state*>(w->data)->drive(CURL_SOCKET_TIMEOUT, 0);
        },
        0., 0.);
    state_->timeout.data = state_.get();
}

http_client::~http_client() {
    for (auto& entry : state_->transfers) {
        curl_multi_remove_handle(state_->multi, entry.second->easy);
    }
    state_->transfers.clear();
    curl_multi_cleanup(state_->multi);
    ev_timer_stop(state_->loop, &state_->timeout);
    for (auto& entry : state_->sockets) {
        ev_io_stop(state_->loop, &entry.second->watcher);
    }
}

http_client::call_id http_client::send(http_call call, handler on_done) {
    auto started = std::make_unique<transfer>();
    started->id = state_->next_id++;
    started->call = std::move(call);
    started->on_done = std::move(on_done);
    started->easy = curl_easy_init();
    started->body_limit = state_->bounds.response_body;
    state_->prepare(*started);
    const auto id = started->id;
    CURL* easy = started->easy;
    state_->transfers.emplace(id, std::move(started));
    curl_multi_add_handle(state_->multi, easy);
    return id;
}

bool http_client::cancel(call_id call) {
    const auto found = state_->transfers.find(call);
    if (found == state_->transfers.end()) {
        return false;
    }
    curl_multi_remove_handle(state_->multi, found->second->easy);
    state_->transfers.erase(found);
    return true;
}

void http_client::limit_connections_per_host(std::size_t limit) {
    curl_multi_setopt(state_->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(limit));
}

std::uint64_t http_client::received(call_id call) const {
    const auto found = state_->transfers.find(call);
    return found == state_->transfers.end() ? 0 : found->second->received;
}

std::size_t http_client::open_calls() const {
    return state_->transfers.size();
}

} // namespace waxwingvale::io
