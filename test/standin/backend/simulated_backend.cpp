#include "standin/backend/simulated_backend.hpp"

#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "standin/body_digest.hpp"

namespace waxwingvale::standin {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned internal_error = 500;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;
constexpr duration caller_watch_interval = std::chrono::milliseconds(5);
constexpr duration stop_watch_interval = std::chrono::milliseconds(2);
const std::string command_prefix = "/-/";
const std::string crash_header = "X-Standin-Crash";
const std::string crash_marker = "crash-backend-server";
const std::string none = "none";

bool crashes(const io::http_request& request) {
    return io::find_header(request.headers, crash_header) != nullptr ||
           request.body.find(crash_marker) != std::string::npos;
}

// The moment by which the caller wants its answer.
std::optional<time_point> deadline_of(const io::http_request& request,
                                      time_point now) {
    const auto* value = io::find_header(request.headers, "Waxwing-Deadline-Ms");
    if (value == nullptr) {
        return std::nullopt;
    }
    return now +
           std::chrono::milliseconds(std::strtoll(value->c_str(), nullptr, 10));
}

} // namespace

simulated_backend::simulated_backend(kernel::event_loop& loop,
                                     kernel::timer_service& timers,
                                     const backend_options& options,
                                     history_file& history)
    : loop_(loop),
      timers_(timers),
      options_(options),
      times_(options),
      log_(options, history),
      port_(options.port) {
    faults_.cold_until = timers.now() + options.cold_start;
    faults_.cold_factor = options.cold_factor;
}

result<void> simulated_backend::start() {
    return listen();
}

result<void> simulated_backend::listen() {
    io::http_server_options listening;
    listening.port = port_;
    servers_.push_back(std::make_unique<io::http_server>(loop_, listening));
    const auto generation = servers_.size();
    auto started =
        servers_.back()->start([this, generation](io::http_request request,
                                                  io::http_responder respond) {
            handle(generation, std::move(request), respond);
        });
    if (started) {
        port_ = servers_.back()->port();
    }
    return started;
}

// Connections open now belong to the former server, which answers nothing any
// more; the port goes on with a new one.
void simulated_backend::go_silent() {
    servers_.back()->stop_accepting();
    static_cast<void>(listen());
}

void simulated_backend::handle(std::size_t generation, io::http_request request,
                               const io::http_responder& respond) {
    if (generation != servers_.size() || handle_command(request, respond)) {
        return;
    }
    const auto deadline = deadline_of(request, timers_.now());
    admit({std::move(request), respond, generation, deadline, {}});
}

bool simulated_backend::handle_command(const io::http_request& request,
                                       const io::http_responder& respond) {
    static const std::map<std::string, command> commands = {
        {"GET /-/load", &simulated_backend::tell_load},
        {"GET /-/health", &simulated_backend::tell_health},
        {"GET /-/runs", &simulated_backend::tell_runs},
        {"POST /-/fault", &simulated_backend::set_fault},
        {"POST /-/stop", &simulated_backend::stop_by_command}};
    const request_target target(request.target);
    if (target.path().compare(0, command_prefix.size(), command_prefix) != 0) {
        return false;
    }
    const auto found = commands.find(request.method + " " + target.path());
    if (found == commands.end()) {
        respond({not_found, {}, "no such command\n"});
    } else {
        (this->*found->second)(target, respond);
    }
    return true;
}

void simulated_backend::tell_load(const request_target&,
                                  const io::http_responder& respond) {
    const nlohmann::json body = {{"slots", options_.slots},
                                 {"in_flight", running_.size()},
                                 {"queued", waiting_.size()},
                                 {"incarnation", options_.incarnation},
                                 {"state", leaving_ ? "leaving" : "serving"}};
    io::http_response answer{ok, state_headers({}), body.dump()};
    if (faults_.load_delay == duration::zero()) {
        respond(std::move(answer));
        return;
    }
    delayed_.emplace_back();
    const auto waiting = std::prev(delayed_.end());
    *waiting = timers_.after(faults_.load_delay, [=](time_point) {
        respond(answer);
        delayed_.erase(waiting);
    });
}

void simulated_backend::tell_health(const request_target&,
                                    const io::http_responder& respond) {
    respond({ok, state_headers({}), "ok\n"});
}

void simulated_backend::tell_runs(const request_target&,
                                  const io::http_responder& respond) {
    respond({ok, {}, log_.counts().dump()});
}

void simulated_backend::set_fault(const request_target& target,
                                  const io::http_responder& respond) {
    faults_.straggle = target.real("straggle", faults_.straggle);
    faults_.fail_fast =
        target.number("fail_fast", faults_.fail_fast ? 1 : 0) != 0;
    if (target.has("load_delay_ms")) {
        faults_.load_delay =
            std::chrono::milliseconds(target.number("load_delay_ms", 0));
    }
    if (target.has("cold_start_ms")) {
        faults_.cold_until =
            timers_.now() +
            std::chrono::milliseconds(target.number("cold_start_ms", 0));
        faults_.cold_factor = target.real("cold_factor", options_.cold_factor);
    }
    if (target.has("limit")) {
        faults_.limit = target.text("limit", none);
    }
    if (target.has("rest")) {
        faults_.rest = target.text("rest", none);
    }
    if (target.has("drain")) {
        drain();
    }
    respond({ok, state_headers({}), "{}"});
    if (target.has("silent")) {
        // Once this answer is out; it is on one of the connections that go
        // silent.
        delayed_.push_back(timers_.after(stop_watch_interval,
                                         [this](time_point) { go_silent(); }));
    }
}

void simulated_backend::stop_by_command(const request_target&,
                                        const io::http_responder& respond) {
    drain();
    respond({ok, state_headers({}), "{}"});
    on_stop_wanted_();
}

void simulated_backend::on_stop_wanted(std::function<void()> handler) {
    on_stop_wanted_ = std::move(handler);
}

void simulated_backend::drain() {
    if (!leaving_) {
        leaving_ = true;
        log_.change("leaving");
    }
}

void simulated_backend::stop(std::function<void()> on_stopped) {
    drain();
    stop_watch_ = timers_.every(stop_watch_interval, [=](time_point) {
        if (idle()) {
            stop_watch_.cancel();
            log_.change("stopped");
            on_stopped();
        }
    });
}

bool simulated_backend::idle() const {
    return running_.empty() && waiting_.empty() &&
           servers_.back()->pending() == 0;
}

void simulated_backend::admit(run accepted) {
    if (faults_.fail_fast) {
        log_.begin(accepted.request);
        log_.end(accepted.request, "failed");
        answer(accepted, internal_error, "failing\n");
    } else if (faults_.rest != none) {
        refuse(accepted, "resting");
    } else if (leaving_) {
        refuse(accepted, "leaving");
    } else if (running_.size() >= options_.slots &&
               waiting_.size() >= options_.queue) {
        refuse(accepted, "shed");
    } else {
        waiting_.push_back(std::move(accepted));
        start_waiting();
        watch_callers();
    }
}

void simulated_backend::start_waiting() {
    while (running_.size() < options_.slots && !waiting_.empty()) {
        begin(waiting_, waiting_.begin());
    }
}

void simulated_backend::begin(run_list& from, run_list::iterator which) {
    const auto now = timers_.now();
    if (which->deadline && *which->deadline <= now) {
        refuse(*which, "expired");
        from.erase(which);
        return;
    }
    running_.splice(running_.end(), from, which);
    log_.begin(which->request);
    if (crashes(which->request)) {
        if (options_.crash_delay == duration::zero()) {
            std::abort();
        }
        which->end = timers_.after(options_.crash_delay,
                                   [](time_point) { std::abort(); });
        return;
    }
    const auto done_at = now + service_time();
    const bool in_time = !which->deadline || done_at <= *which->deadline;
    const auto until = in_time ? done_at : *which->deadline;
    which->end = timers_.after(until - now, [this, which, in_time](time_point) {
        finish(which, in_time ? "answered" : "expired");
    });
}

void simulated_backend::finish(run_list::iterator which,
                               const std::string& how) {
    run_list ended;
    ended.splice(ended.end(), running_, which);
    const auto& request = which->request;
    log_.end(request, how);
    if (how == "answered") {
        const nlohmann::json body = {
            {"server", options_.name},
            {"incarnation", options_.incarnation},
            {"request", header_or_empty(request, "X-Request-Id")},
            {"key", header_or_empty(request, "Idempotency-Key")},
            {"target", request.target},
            {"digest", body_digest(request.target, request.body)}};
        answer(*which, ok, body.dump());
    } else if (how == "expired") {
        answer(*which, gateway_timeout, "the deadline passed\n");
    }
    start_waiting();
}

// Frees the slots of callers that have closed their connection.
void simulated_backend::drop_abandoned() {
    waiting_.remove_if(
        [](const run& waiting) { return waiting.respond.abandoned(); });
    for (auto each = running_.begin(); each != running_.end();) {
        const auto which = each++;
        if (which->respond.abandoned()) {
            finish(which, "cancelled");
        }
    }
    if (running_.empty() && waiting_.empty()) {
        caller_watch_.cancel();
        caller_watch_ = {};
    }
}

void simulated_backend::watch_callers() {
    caller_watch_ = timers_.every(caller_watch_interval,
                                  [this](time_point) { drop_abandoned(); });
}

void simulated_backend::refuse(const run& refused, const std::string& why) {
    log_.refused(why);
    if (refused.generation != servers_.size()) {
        return;
    }
    auto headers = state_headers(refused.request);
    headers.push_back({"Waxwing-Not-Started", "1"});
    if (faults_.rest != none) {
        headers.push_back({"Retry-After", faults_.rest});
    }
    refused.respond({unavailable, std::move(headers), why + "\n"});
}

void simulated_backend::answer(const run& answered, unsigned status,
                               std::string body) {
    if (answered.generation == servers_.size()) {
        answered.respond(
            {status, state_headers(answered.request), std::move(body)});
    }
}

duration simulated_backend::service_time() {
    const bool cold = timers_.now() < faults_.cold_until;
    const double factor = faults_.straggle * (cold ? faults_.cold_factor : 1);
    const auto drawn = static_cast<double>(times_.draw().count());
    return duration(static_cast<duration::rep>(drawn * factor));
}

io::http_headers
simulated_backend::state_headers(const io::http_request& request) const {
    io::http_headers headers = {
        {"Waxwing-Backend-State", leaving_ ? "leaving" : "serving"},
        {"Waxwing-Backend-Incarnation", std::to_string(options_.incarnation)}};
    if (faults_.limit != none) {
        headers.push_back({"Waxwing-Backend-Limit", faults_.limit});
    }
    const auto* id = io::find_header(request.headers, "X-Request-Id");
    if (id != nullptr) {
        headers.push_back({"X-Request-Id", *id});
    }
    return headers;
}

} // namespace waxwingvale::standin
