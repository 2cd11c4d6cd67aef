#include "entry/reach_watch.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/check_targets.hpp>
#include <waxwingvale/program/state_log.hpp>

#include "entry/reach_codec.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;
using decision::backend_reach;
using decision::failure_kind;
using decision::failure_meaning;

constexpr duration server_answers_within = 200ms;
// While a check is under way, and while partitioned.
constexpr duration tick_period = 20ms;
constexpr duration longest_tick = 100ms;
// A server that ended alone is told from a partition by the others, sooner than
// this; only then peers are asked.
constexpr duration servers_alone_asked_for = 30ms;
// An answer that has come so lately tells a peer that servers answer here.
constexpr duration lately = 200ms;
// Each check makes connections; where servers reset whatever comes, losses
// would begin hundreds of checks a second.
constexpr duration between_checks = 50ms;

// Whether a server may be the reason, or the way to it; no limit of our own.
bool is_failure(const forwarding::backend_result& ended) {
    if (ended.response) {
        return false;
    }
    switch (ended.response.error().code) {
    case error_code::refused:
    case error_code::unavailable:
    case error_code::timed_out:
        return true;
    default:
        return false;
    }
}

} // namespace

reach_watch::reach_watch(const request_protocol& protocol,
                         kernel::timer_service& timers,
                         forwarding::backend_pool& pool, io::message_hub& hub,
                         program::gauge partitioned, program::counter checks)
    : protocol_(protocol),
      timers_(timers),
      pool_(pool),
      hub_(hub),
      gauge_(partitioned),
      checks_(checks),
      monitor_(decision::reach_limits{}) {
    hub_.on_message(reach_kind, [this](const std::string& peer,
                                       const std::vector<std::uint8_t>& bytes) {
        take(peer, bytes);
    });
    hub_.on_link_change([this](const std::string& peer, bool up) {
        if (up) {
            ask_newcomer(peer);
        }
    });
}

void reach_watch::follow(view_ptr now) {
    view_ = std::move(now);
}

failure_meaning reach_watch::judge(const std::string& backend_server,
                                   const forwarding::backend_result& ended,
                                   settled_handler when_known) {
    if (ended.response) {
        note_answer(ended.connecting_began);
        return failure_meaning::of_server;
    }
    if (!is_failure(ended)) {
        return failure_meaning::of_server;
    }
    const auto kind =
        ended.sent ? failure_kind::unanswered : failure_kind::unconnected;
    return note_failure(backend_server, kind, std::move(when_known));
}

// Slow servers leave many of these while others answer.
failure_meaning reach_watch::on_silence(const std::string& backend_server,
                                        settled_handler when_known) {
    return answered_lately()
               ? failure_meaning::of_server
               : note_failure(backend_server, failure_kind::unanswered,
                              std::move(when_known));
}

failure_meaning reach_watch::note_failure(const std::string& backend_server,
                                          failure_kind kind,
                                          settled_handler when_known) {
    const auto meaning = monitor_.on_failure(kind, timers_.now());
    if (meaning == failure_meaning::open) {
        when_settled(std::move(when_known));
    }
    if (monitor_.reach() == backend_reach::doubtful) {
        failed_.insert(backend_server);
    }
    update();
    return meaning;
}

void reach_watch::note_answer(time_point connecting_began) {
    const auto now = timers_.now();
    last_answer_ = now;
    any_answer_ = true;
    monitor_.on_answer(connecting_began, now);
    update();
    if (!waiting_peers_.empty()) {
        answer_peers();
    }
}

void reach_watch::when_settled(settled_handler handler) {
    waiting_.push_back(std::move(handler));
}

void reach_watch::when_checked(decision::unproven_loss loss) {
    const auto now = timers_.now();
    if (loss.deserves_check() && now - check_began_ >= between_checks) {
        monitor_.on_question(now);
    }
    if (monitor_.reach() == backend_reach::doubtful) {
        unproven_.add(std::move(loss));
    }
    update();
}

bool reach_watch::answered_lately() const {
    return any_answer_ && timers_.now() - last_answer_ < lately;
}

// Those told may cause the next change before they return; it is told after
// them.
void reach_watch::update() {
    update_again_ = true;
    if (updating_) {
        return;
    }
    updating_ = true;
    while (std::exchange(update_again_, false)) {
        carry_out();
    }
    updating_ = false;
}

// Carries out what the monitor wants, and tells what it has decided.
void reach_watch::carry_out() {
    if (monitor_.wants_check(timers_.now())) {
        begin_check();
    }
    const auto reach = monitor_.reach();
    if (reach == backend_reach::in_touch) {
        end_asking();
        ticking_.cancel();
        failed_.clear();
    }
    // What is open is judged first: what had been sent is not taken for unsent.
    settle_waiting();
    if (reach != backend_reach::doubtful) {
        unproven_.tell(monitor_.settled_as());
    }
    const bool is_partitioned = reach == backend_reach::partitioned;
    if (is_partitioned != told_partitioned_) {
        told_partitioned_ = is_partitioned;
        gauge_.set(is_partitioned ? 1 : 0);
        log_change();
        if (on_change_) {
            on_change_(is_partitioned);
        }
    }
}

void reach_watch::settle_waiting() {
    const bool is_open = monitor_.holds() && !monitor_.refuses();
    if (is_open || waiting_.empty()) {
        return;
    }
    const auto meaning = monitor_.settled_as();
    for (const auto& handler : std::exchange(waiting_, {})) {
        if (handler) {
            handler(meaning);
        }
    }
}

void reach_watch::end_asking() {
    for (const auto& each : std::exchange(asked_, {})) {
        pool_.cancel(each.second);
    }
}

void reach_watch::log_change() const {
    program::log_warning("backend_reach_changed",
                         {{"reach", to_string(monitor_.reach())},
                          {"servers_failed", std::to_string(failed_.size())}});
}

void reach_watch::begin_check() {
    const auto now = timers_.now();
    checks_.add();
    ++round_;
    end_asking();
    monitor_.on_check_begun(now, !hub_.connected_peers().empty());
    check_began_ = now;
    last_tick_ = now;
    peers_asked_ = false;
    any_ask_failed_ = false;
    ticking_ = timers_.every(tick_period, [this](time_point at) { tick(at); });
    asked_others_ = false;
    ask_servers();
    if (asked_.empty()) {
        monitor_.on_check_void();
        update();
    }
}

void reach_watch::ask_servers() {
    if (!view_ || !view_->config) {
        return;
    }
    for (const auto& each :
         decision::servers_to_check(*view_->config, failed_, round_)) {
        ask_server(*each.of, *each.server);
    }
}

void reach_watch::tick(time_point now) {
    // Answers may lie unread that came while the process stood still.
    const bool stood_still = now - last_tick_ > longest_tick;
    last_tick_ = now;
    if (stood_still) {
        begin_check();
        return;
    }
    if (now - check_began_ >= servers_alone_asked_for) {
        ask_peers();
    }
    monitor_.tick(now);
    update();
}

// Whoever answers the question, and whatever it says, has been reached.
void reach_watch::ask_server(const service& of, const backend_server& server) {
    forwarding::backend_call call;
    call.backend_server = server.name;
    call.host = server.host;
    call.port = server.port;
    call.target = protocol_.health_target(of);
    call.headers.push_back({"Host", server.host});
    call.connect_timeout = server_answers_within;
    call.purpose = forwarding::call_purpose::check;
    const auto number = next_ask_++;
    asked_[number] = pool_.send(std::move(call),
                                [this, number, name = server.name](
                                    const forwarding::backend_result& ended) {
                                    end_ask(number, name, ended);
                                });
}

void reach_watch::end_ask(std::uint64_t number,
                          const std::string& backend_server,
                          const forwarding::backend_result& ended) {
    if (asked_.erase(number) == 0) {
        return;
    }
    if (ended.response) {
        note_answer(ended.connecting_began);
        return;
    }
    // A limit of our own says nothing of servers.
    any_ask_failed_ = any_ask_failed_ || is_failure(ended);
    failed_.insert(backend_server);
    if (!asked_.empty()) {
        return;
    }
    // Servers that ended together may be all that were asked.
    if (!std::exchange(asked_others_, true)) {
        ask_servers();
        return;
    }
    if (any_ask_failed_) {
        ask_peers();
        monitor_.on_check_failed(timers_.now());
    } else {
        monitor_.on_check_void();
    }
    update();
}

void reach_watch::ask_peers() {
    if (peers_asked_ || monitor_.reach() != backend_reach::doubtful) {
        return;
    }
    peers_asked_ = true;
    for (const auto& peer : hub_.connected_peers()) {
        ask_peer(peer);
    }
}

void reach_watch::ask_peer(const std::string& peer) {
    hub_.send(peer, reach_kind, encode(reach_message{round_, true}));
}

// A peer that was linked after the others were asked.
void reach_watch::ask_newcomer(const std::string& peer) {
    if (peers_asked_ && monitor_.reach() == backend_reach::doubtful) {
        ask_peer(peer);
    }
}

void reach_watch::take(const std::string& peer,
                       const std::vector<std::uint8_t>& bytes) {
    const auto read = decode_reach_message(bytes);
    if (!read) {
        return;
    }
    const auto& message = read.value();
    if (!message.asks) {
        if (message.round == round_) {
            monitor_.on_peer_in_touch(timers_.now());
            update();
        }
        return;
    }
    if (partitioned()) {
        return;
    }
    waiting_peers_[peer] = message.round;
    if (answered_lately() && !monitor_.holds()) {
        answer_peers();
    } else if (monitor_.reach() == backend_reach::in_touch) {
        // Nobody has asked servers here of late.
        monitor_.on_question(timers_.now());
        update();
    }
}

void reach_watch::answer_peers() {
    if (partitioned() || monitor_.holds()) {
        return;
    }
    for (const auto& each : std::exchange(waiting_peers_, {})) {
        hub_.send(each.first, reach_kind,
                  encode(reach_message{each.second, false}));
    }
}

} // namespace waxwingvale::entry
