#include "entry/crash_guard.hpp"

#include <algorithm>

#include <waxwingvale/program/state_log.hpp>

#include "entry/suspicion_codec.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

constexpr duration forgetting_period = 1s;
constexpr unsigned passes_for_a_sample = 8;

const char* event_of(decision::suspicion_state state) {
    switch (state) {
    case decision::suspicion_state::suspect:
        return "request_suspected";
    case decision::suspicion_state::cleared:
        return "request_cleared";
    case decision::suspicion_state::quarantined:
        return "request_quarantined";
    }
    return "request_suspected";
}

// Each instance logs what it learns, so that logs tell when each knew.
void log_word(const decision::suspicion_update& word,
              const std::string& told_by) {
    program::log_warning(
        event_of(word.state),
        {{"fingerprint", std::to_string(word.fingerprint.value)},
         {"backend_server", word.last_crashed.backend_server},
         {"tester", word.tester},
         {"told_by", told_by}});
}

} // namespace

crash_guard::crash_guard(const std::string& self, io::message_hub& hub,
                         kernel::timer_service& timers,
                         program::gauge suspicions)
    : hub_(hub),
      timers_(timers),
      suspicions_(suspicions),
      quarantine_(self, {}) {
    hub_.on_message(
        suspicion_kind,
        [this](const std::string& peer,
               const std::vector<std::uint8_t>& bytes) { take(peer, bytes); });
    hub_.on_link_change([this](const std::string& peer, bool up) {
        // An instance that has just started knows of no suspect, and would
        // run a crashing request once more.
        if (up && watching()) {
            hub_.send(peer, suspicion_kind,
                      encode(quarantine_.snapshot(timers_.now())));
        }
    });
    forgetting_ = timers_.every(forgetting_period, [this](time_point now) {
        quarantine_.tick(now);
        suspicions_.set(static_cast<double>(quarantine_.size()));
    });
}

bool crash_guard::wants_pass() {
    return watching() || ++passes_ % passes_for_a_sample == 0;
}

decision::quarantine_decision
crash_guard::admit(decision::request_fingerprint of) {
    return quarantine_.admit(of, timers_.now());
}

void crash_guard::on_alive(const std::string& backend_server,
                           backend_incarnation incarnation) {
    auto& sight = backend_servers_[backend_server];
    if (!is_of_former(incarnation, sight.incarnation)) {
        sight = {incarnation, false};
    }
}

// When a server dies, every connection to it breaks: the first one reports
// them all, and the others add nothing until it has answered again.
// Connections that break late, to a process that another has followed, say
// nothing of the one that runs.
bool crash_guard::is_news(const std::string& backend_server,
                          backend_incarnation incarnation) const {
    const auto known = backend_servers_.find(backend_server);
    if (known == backend_servers_.end()) {
        return true;
    }
    const auto& sight = known->second;
    if (is_of_former(incarnation, sight.incarnation)) {
        return false;
    }
    return !sight.dead || is_of_former(sight.incarnation, incarnation);
}

void crash_guard::on_died(
    const std::string& backend_server, backend_incarnation incarnation,
    const std::vector<decision::request_fingerprint>& in_flight) {
    auto& sight = backend_servers_[backend_server];
    sight = {std::max(sight.incarnation, incarnation), true};
    const auto words = quarantine_.on_backend_died(
        {backend_server, sight.incarnation}, in_flight, timers_.now());
    program::log_warning("backend_server_died",
                         {{"backend_server", backend_server},
                          {"in_flight", std::to_string(in_flight.size())}});
    tell_all(words);
}

void crash_guard::on_passed(decision::request_fingerprint of) {
    const auto word = quarantine_.on_answered(of, timers_.now());
    if (word) {
        tell_all({*word});
    }
}

void crash_guard::on_trial_placed(decision::request_fingerprint of,
                                  const std::string& backend_server) {
    auto& sight = backend_servers_[backend_server];
    // What breaks from now on is news again: the trial runs on a server that
    // took a connection, whatever was seen of it before.
    sight.dead = false;
    quarantine_.on_trial_placed(of, {backend_server, sight.incarnation});
}

void crash_guard::on_trial_abandoned(decision::request_fingerprint of) {
    quarantine_.on_trial_abandoned(of);
}

void crash_guard::take(const std::string& peer,
                       const std::vector<std::uint8_t>& bytes) {
    const auto words = decode_suspicions(bytes);
    if (!words) {
        return;
    }
    for (const auto& word : words.value()) {
        // Every entry process hears the first teller itself; passing it on
        // would only multiply it.
        if (quarantine_.merge(word, timers_.now())) {
            log_word(word, peer);
        }
    }
}

void crash_guard::tell_all(
    const std::vector<decision::suspicion_update>& words) {
    if (words.empty()) {
        return;
    }
    for (const auto& word : words) {
        log_word(word, "self");
    }
    const auto message = encode(words);
    for (const auto& peer : hub_.connected_peers()) {
        hub_.send(peer, suspicion_kind, message);
    }
}

} // namespace waxwingvale::entry
