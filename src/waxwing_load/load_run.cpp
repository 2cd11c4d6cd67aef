#include "waxwing_load/load_run.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>
#include <utility>
#include <waxwingvale/program/incarnation.hpp>

namespace waxwingvale::load {

namespace {

using std::chrono::milliseconds;

constexpr duration warm_up_limit = std::chrono::seconds(10);
// After its deadline a caller still takes an answer for so long: late answers
// are counted as slow and not as lost.
constexpr duration late_answer_grace = std::chrono::seconds(1);
const std::string request_id_header = "X-Request-Id";

// Different for every run, so that two runs never share a key.
std::string fresh_run_id() {
    char text[32];
    std::snprintf(text, sizeof text, "%llx-%x",
                  static_cast<unsigned long long>(program::fresh_incarnation()),
                  static_cast<unsigned>(getpid()));
    return text;
}

io::http_client::limits client_limits(const load_options& options) {
    io::http_client::limits limits;
    limits.connections_per_host = options.open_limit;
    limits.connections_total = options.open_limit;
    return limits;
}

std::string body_for(const std::string& request, std::size_t bytes) {
    auto body = request;
    body.resize(std::max(bytes, request.size()), '.');
    return body;
}

std::string header_text(const io::http_response& answer,
                        const std::string& name) {
    const auto* found = io::find_header(answer.headers, name);
    return found == nullptr ? "" : *found;
}

std::optional<run_outcome> outcome_of(const io::http_response& answer) {
    const auto text = header_text(answer, "Waxwing-Outcome");
    for (const auto each :
         {run_outcome::ran, run_outcome::not_run, run_outcome::unknown}) {
        if (text == to_string(each)) {
            return each;
        }
    }
    return std::nullopt;
}

std::optional<duration> retry_after_of(const io::http_response& answer) {
    const auto exact = header_text(answer, "Waxwing-Retry-After-Ms");
    if (!exact.empty()) {
        return milliseconds(std::strtoll(exact.c_str(), nullptr, 10));
    }
    const auto whole = header_text(answer, "Retry-After");
    if (whole.empty()) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::strtoll(whole.c_str(), nullptr, 10));
}

} // namespace

load_run::load_run(kernel::event_loop& loop, kernel::timer_service& timers,
                   const load_options& options)
    : loop_(loop),
      timers_(timers),
      options_(options),
      run_id_(fresh_run_id()),
      client_(loop, client_limits(options)),
      schedule_(options),
      send_timer_(loop, [this] { send_due(); }) {}

result<load_result> load_run::run() {
    auto opened = history_.open(options_.history_file);
    if (!opened) {
        return opened.error();
    }
    auto ready = get_addresses();
    if (!ready) {
        return ready.error();
    }
    begin_sending();
    loop_.run();
    for (const auto& caller : callers_) {
        result_.askings += caller->askings();
    }
    return result_;
}

result<void> load_run::get_addresses() {
    if (options_.steers.empty()) {
        return success();
    }
    for (std::size_t i = 0; i < options_.callers; ++i) {
        callers_.push_back(std::make_unique<load_caller>(
            client_, timers_, options_, run_id_ + "-" + std::to_string(i), i));
        callers_.back()->start([this] {
            if (++callers_ready_ == callers_.size()) {
                loop_.stop();
            }
        });
    }
    const auto limit =
        timers_.after(warm_up_limit, [this](time_point) { loop_.stop(); });
    loop_.run();
    if (callers_ready_ < callers_.size()) {
        return error{error_code::unavailable, "ask for addresses",
                     options_.steers.front().host + ":" +
                         std::to_string(options_.steers.front().port),
                     std::to_string(callers_.size() - callers_ready_) +
                         " callers got none"};
    }
    return success();
}

void load_run::begin_sending() {
    began_ = timers_.now();
    next_ = schedule_.next();
    if (next_) {
        send_timer_.wake_at(began_ + next_->at);
    }
}

void load_run::send_due() {
    while (next_ && began_ + next_->at <= timers_.now()) {
        const auto due = *next_;
        next_ = schedule_.next();
        open(due);
    }
    if (next_) {
        send_timer_.wake_at(began_ + next_->at);
    }
    stop_when_done();
}

void load_run::open(const planned_send& planned) {
    const auto id = ++calls_;
    const bool straight =
        !options_.direct.empty() && (options_.steers.empty() || id % 2 == 0);
    open_call call;
    call.due = began_ + planned.at;
    call.told.request = run_id_ + "." + std::to_string(id);
    call.told.write = planned.write;
    if (straight) {
        call.direct_to = options_.direct[id / 2 % options_.direct.size()];
    } else {
        call.caller = callers_[planned.caller].get();
    }
    if (planned.write) {
        call.body = body_for(call.told.request, options_.body_bytes);
        call.told.key = straight ? "" : call.caller->next_key();
    }
    auto& tally = tally_of(call);
    if (open_.size() >= options_.open_limit) {
        tally.not_sent();
        return;
    }
    tally.sent_late_by(timers_.now() - call.due);
    history_.invoke(timers_.now(), call.told);
    open_.emplace(id, std::move(call));
    attempt(id);
}

void load_run::attempt(std::uint64_t id) {
    auto& call = open_.at(id);
    ++call.attempts;
    tally_of(call).attempt();
    const auto left = call.due + options_.deadline - timers_.now();
    client_.send(request_of(call, std::max<duration>(left, milliseconds(1))),
                 [this, id](io::http_call_result ended) { take(id, ended); });
}

io::http_call load_run::request_of(const open_call& call, duration left) const {
    io::http_call request;
    const auto& path =
        call.told.write ? options_.write_path : options_.read_path;
    const bool straight = call.caller == nullptr;
    const auto& to =
        straight ? call.direct_to : call.caller->address(call.choice);
    request.host = to.host;
    request.port = to.port;
    request.target = straight ? path : "/" + options_.service + path;
    request.method = call.told.write ? "POST" : "GET";
    request.body = call.body;
    request.timeout = left + late_answer_grace;
    request.connect_timeout = left;
    const auto left_ms = std::chrono::ceil<milliseconds>(left).count();
    request.headers = {{request_id_header, call.told.request},
                       {"Waxwing-Deadline-Ms", std::to_string(left_ms)}};
    if (!options_.tenant.empty()) {
        request.headers.push_back({"Waxwing-Tenant", options_.tenant});
    }
    if (!call.told.key.empty()) {
        request.headers.push_back({"Idempotency-Key", call.told.key});
    }
    return request;
}

void load_run::take(std::uint64_t id, const io::http_call_result& ended) {
    auto& call = open_.at(id);
    const auto seen = read_result(call, ended);
    call_progress progress;
    progress.write = call.told.write;
    progress.attempts = call.attempts;
    progress.attempts_left = options_.attempts - call.attempts;
    progress.time_left = call.due + options_.deadline - timers_.now();
    progress.ever_sent = call.ever_sent;
    call.ever_sent = call.ever_sent || seen.sent;
    follow(id, decide(seen, progress));
}

attempt_result load_run::read_result(const open_call& call,
                                     const io::http_call_result& ended) {
    attempt_result seen;
    seen.sent = ended.sent;
    seen.answered = ended.response.has_value();
    if (!seen.answered) {
        history_.attempt(timers_.now(), call.told, 0, "");
        return seen;
    }
    const auto& answer = ended.response.value();
    const auto echoed = header_text(answer, request_id_header);
    seen.status = answer.status;
    seen.outcome = outcome_of(answer);
    seen.retry_after = retry_after_of(answer);
    seen.own = echoed.empty() || echoed == call.told.request;
    const bool ran = seen.status >= 200 && seen.status < 300;
    if (options_.expect_echo && ran) {
        seen.own = echoed == call.told.request &&
                   answer.body.find('"' + call.told.request + '"') !=
                       std::string::npos;
    }
    const auto outcome = header_text(answer, "Waxwing-Outcome");
    history_.attempt(timers_.now(), call.told, seen.status, outcome);
    tally_of(call).answer(seen.status, outcome,
                          header_text(answer, "Waxwing-Reason"));
    return seen;
}

void load_run::follow(std::uint64_t id, const caller_decision& decision) {
    if (decision.end) {
        finish(id, *decision.end);
        return;
    }
    auto& call = open_.at(id);
    if (decision.other_address) {
        ++call.choice;
        if (call.caller != nullptr) {
            call.caller->doubt_addresses();
        }
    }
    call.next_attempt = timers_.after(
        decision.wait, [this, id, fresh = decision.new_key](time_point) {
            auto& due = open_.at(id);
            if (fresh && !due.told.key.empty()) {
                due.told.key = due.caller->next_key();
                due.choice = 0;
            }
            attempt(id);
        });
}

void load_run::finish(std::uint64_t id, call_end how) {
    const auto found = open_.find(id);
    const auto& call = found->second;
    tally_of(call).ended(how, timers_.now() - call.due);
    history_.end(timers_.now(), call.told, how);
    open_.erase(found);
    stop_when_done();
}

void load_run::stop_early() {
    next_.reset();
    stop_when_done();
}

void load_run::stop_when_done() {
    if (!next_ && open_.empty()) {
        loop_.stop();
    }
}

call_tally& load_run::tally_of(const open_call& call) {
    return call.caller == nullptr ? result_.direct : result_.through;
}

} // namespace waxwingvale::load
