#include <waxwingvale/decision/reach_monitor.hpp>

#include <algorithm>

namespace waxwingvale::decision {

namespace {

// While partitioned, servers are asked again this often.
constexpr duration recheck_period = std::chrono::milliseconds(250);

} // namespace

const char* to_string(backend_reach reach) {
    switch (reach) {
    case backend_reach::in_touch:
        return "in-touch";
    case backend_reach::doubtful:
        return "doubtful";
    case backend_reach::partitioned:
        return "partitioned";
    }
    return "in-touch";
}

bool reach_monitor::wants_check(time_point now) const {
    switch (reach_) {
    case backend_reach::in_touch:
        return false;
    case backend_reach::doubtful:
        return !check_running_;
    case backend_reach::partitioned:
        return !check_running_ && now - check_began_ >= recheck_period;
    }
    return false;
}

void reach_monitor::on_check_begun(time_point now, bool has_peers) {
    check_began_ = now;
    has_peers_ = has_peers;
    lacks_peers_ = lacks_peers_ && !has_peers;
    check_running_ = true;
    servers_failed_ = false;
    peer_in_touch_ = false;
}

failure_meaning reach_monitor::on_failure(failure_kind kind, time_point now) {
    if (reach_ == backend_reach::partitioned) {
        return failure_meaning::of_partition;
    }
    if (refuses()) {
        return failure_meaning::unproven;
    }
    if (holds()) {
        return failure_meaning::open;
    }
    const bool proven = kind == failure_kind::unanswered && proven_ &&
                        now - *proven_ < limits_.proof_lasts;
    if (proven) {
        return failure_meaning::of_server;
    }
    const bool checked_lately =
        unproven_ && now - doubt_began_ < limits_.unproven_pause;
    if (reach_ == backend_reach::doubtful || checked_lately) {
        return failure_meaning::unproven;
    }
    reach_ = backend_reach::doubtful;
    doubt_began_ = now;
    check_running_ = false;
    lacks_peers_ = false;
    return unproven_ ? failure_meaning::unproven : failure_meaning::open;
}

void reach_monitor::on_answer(time_point connecting_began, time_point now) {
    proven_ = std::max(proven_.value_or(connecting_began), connecting_began);
    const bool in_doubt = reach_ != backend_reach::partitioned;
    if (in_doubt && connecting_began >= doubt_began_) {
        reach_ = backend_reach::in_touch;
        unproven_ = false;
        check_running_ = false;
        return;
    }
    const bool is_news = reach_ == backend_reach::partitioned &&
                         connecting_began >= check_began_ && check_running_;
    if (!is_news) {
        return;
    }
    check_running_ = false;
    answers_since_ = answers_since_.value_or(now);
    if (now - *answers_since_ >= return_after_) {
        return_to_servers(now);
    }
}

void reach_monitor::on_check_failed(time_point now) {
    if (!check_running_) {
        return;
    }
    servers_failed_ = true;
    if (reach_ == backend_reach::partitioned) {
        check_running_ = false;
        answers_since_.reset();
        return;
    }
    settle(now);
}

void reach_monitor::on_check_void() {
    check_running_ = false;
    if (reach_ == backend_reach::doubtful) {
        reach_ = backend_reach::in_touch;
        unproven_ = true;
    }
}

void reach_monitor::on_peer_in_touch(time_point now) {
    peer_in_touch_ = true;
    if (reach_ == backend_reach::doubtful) {
        settle(now);
    }
}

void reach_monitor::on_question(time_point now) {
    if (reach_ != backend_reach::in_touch) {
        return;
    }
    reach_ = backend_reach::doubtful;
    doubt_began_ = now;
    check_running_ = false;
    unproven_ = true;
}

void reach_monitor::settle(time_point now) {
    if (servers_failed_ && peer_in_touch_) {
        become_partitioned(now);
    }
}

void reach_monitor::tick(time_point now) {
    const bool late =
        check_running_ && now - check_began_ >= limits_.check_timeout;
    if (!late) {
        return;
    }
    if (reach_ == backend_reach::partitioned) {
        on_check_failed(now);
        return;
    }
    servers_failed_ = true;
    settle(now);
    if (reach_ == backend_reach::doubtful) {
        end_late_check(now);
    }
}

// No server has answered in time, nor any peer.
void reach_monitor::end_late_check(time_point now) {
    check_running_ = false;
    lacks_peers_ = awaits_first_peer(now);
    if (!lacks_peers_) {
        reach_ = backend_reach::in_touch;
        unproven_ = true;
    }
}

bool reach_monitor::awaits_first_peer(time_point now) const {
    const bool never_answered = !proven_;
    const bool is_early = now - doubt_began_ < limits_.first_peer_within;
    return never_answered && !has_peers_ && !unproven_ && is_early;
}

void reach_monitor::become_partitioned(time_point now) {
    const bool returned_lately =
        returned_ && now - *returned_ < limits_.lasting_return;
    return_after_ = returned_lately
                        ? std::min(return_after_ * 2, limits_.return_after_max)
                        : limits_.return_after;
    reach_ = backend_reach::partitioned;
    check_running_ = false;
    unproven_ = false;
    answers_since_.reset();
}

void reach_monitor::return_to_servers(time_point now) {
    reach_ = backend_reach::in_touch;
    returned_ = now;
    answers_since_.reset();
}

failure_meaning reach_monitor::settled_as() const {
    switch (reach_) {
    case backend_reach::partitioned:
        return failure_meaning::of_partition;
    case backend_reach::doubtful:
        return unproven_ || refuses() ? failure_meaning::unproven
                                      : failure_meaning::open;
    case backend_reach::in_touch:
        return unproven_ ? failure_meaning::unproven
                         : failure_meaning::of_server;
    }
    return failure_meaning::open;
}

} // namespace waxwingvale::decision
