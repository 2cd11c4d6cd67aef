// The part of crash_guard that tells peers of requests under suspicion, and is
// told by them.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/program/state_log.hpp>

#include "entry/crash_guard.hpp"
#include "entry/suspicion_codec.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// A tester waits so long before it tells of a suspect that is none any more.
constexpr duration testers_turn = 20ms;
// Bounds the size of a message, whose limit is some megabytes.
constexpr std::size_t words_per_message = 256;

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

void crash_guard::tell_all_known(const std::set<std::string>& peers) {
    if (peers.empty() || !watching()) {
        return;
    }
    const auto now = timers_.now();
    send(quarantine_.snapshot(now), {peers, audience_.reach(now)});
}

// This instance owns slots from now on, and sends on them without asking.
void crash_guard::ask_registrars() {
    suspicion_message question;
    question.asks = true;
    const auto bytes = encode(question);
    for (const auto& peer : audience_.registrars()) {
        hub_.send(peer, suspicion_kind, bytes);
    }
}

void crash_guard::take(const std::string& peer,
                       const std::vector<std::uint8_t>& bytes) {
    const auto read = decode_suspicions(bytes);
    if (!read) {
        return;
    }
    const auto& message = read.value();
    if (message.asks) {
        tell_all_known({peer});
    }
    words news;
    words missed; // by the peer
    for (const auto& word : message.words) {
        if (take_word(word, peer)) {
            news.push_back(word);
        }
        if (is_refused_here_only(word)) {
            missed.push_back(
                *quarantine_.update_on(word.fingerprint, timers_.now()));
        }
    }
    pass_on(news, peer, message.reach);
    send(missed, {{peer}, audience_.reach(timers_.now())});
}

// Returns whether it is to be passed on: it is news, or this instance was to
// tell it in its turn.
bool crash_guard::take_word(const decision::suspicion_update& word,
                            const std::string& peer) {
    const bool settled = word.state != decision::suspicion_state::suspect;
    const bool was_to_tell = settled && to_tell_.erase(word.fingerprint) != 0;
    const bool is_news = quarantine_.merge(word, timers_.now());
    told_.insert(word.fingerprint);
    if (is_news && word.state == decision::suspicion_state::quarantined) {
        log_word(word, peer);
    }
    return is_news || was_to_tell;
}

// Whether the request is refused for good here, and who told the word does not
// know.
bool crash_guard::is_refused_here_only(const decision::suspicion_update& word) {
    return word.state != decision::suspicion_state::quarantined &&
           quarantine_.state_of(word.fingerprint, timers_.now()) ==
               decision::suspicion_state::quarantined;
}

void crash_guard::tell(const words& told) {
    for (const auto& word : told) {
        log_word(word, "self");
    }
    post(told, audience_.of_own(timers_.now()));
}

void crash_guard::pass_on(const words& told, const std::string& origin,
                          const decision::suspicion_reach& reach) {
    post(told, audience_.of_told(origin, reach, timers_.now()));
}

void crash_guard::tell_later(const words& told) {
    if (told.empty()) {
        return;
    }
    const auto now = timers_.now();
    const bool was_waiting = !to_tell_.empty();
    for (const auto& word : told) {
        const auto turn = word.tester == self_ ? testers_turn : own_turn_;
        to_tell_.emplace(word.fingerprint, now + turn);
    }
    if (!was_waiting) {
        telling_ = timers_.every(testers_turn,
                                 [this](time_point at) { tell_waiting(at); });
    }
}

void crash_guard::tell_waiting(time_point now) {
    words due;
    for (auto at = to_tell_.begin(); at != to_tell_.end();) {
        if (at->second > now) {
            ++at;
            continue;
        }
        if (auto word = quarantine_.update_on(at->first, now)) {
            due.push_back(std::move(*word));
        }
        at = to_tell_.erase(at);
    }
    post(due, audience_.of_own(now));
    if (to_tell_.empty()) {
        telling_.cancel();
    }
}

void crash_guard::post(const words& told,
                       const decision::suspicion_recipients& to) {
    if (!outbox_.gathers()) {
        send(told, to);
        return;
    }
    const bool none_waited = outbox_.empty();
    std::vector<decision::request_fingerprint> fingerprints;
    for (const auto& word : worth_telling(told)) {
        fingerprints.push_back(word.fingerprint);
    }
    const auto now = timers_.now();
    outbox_.add(fingerprints, to, now);
    if (none_waited && !outbox_.empty()) {
        gathering_ =
            timers_.after(outbox_.due_at() - now,
                          [this](time_point fired) { send_gathered(fired); });
    }
}

// A server that forgets idle connections loses an answer and answers the next
// request: the news would be over before it came.
crash_guard::words crash_guard::worth_telling(const words& told) {
    words worth;
    for (const auto& word : told) {
        const bool cleared = word.state == decision::suspicion_state::cleared;
        if (cleared && told_.count(word.fingerprint) == 0) {
            outbox_.forget(word.fingerprint);
        } else {
            worth.push_back(word);
        }
    }
    return worth;
}

void crash_guard::send_gathered(time_point now) {
    for (const auto& batch : outbox_.take()) {
        send_batch(batch, now);
    }
}

// What is told is what is known by now: it may be more than there was to tell.
void crash_guard::send_batch(const decision::suspicion_batch& batch,
                             time_point now) {
    words told;
    for (const auto& fingerprint : batch.fingerprints) {
        if (auto word = quarantine_.update_on(fingerprint, now)) {
            told.push_back(std::move(*word));
        }
    }
    auto reach = audience_.reach(now);
    reach.for_all = reach.for_all || batch.for_all;
    send(told, {batch.peers, std::move(reach)});
}

void crash_guard::send(const words& told,
                       const decision::suspicion_recipients& to) {
    if (to.peers.empty()) {
        return;
    }
    for (const auto& word : told) {
        told_.insert(word.fingerprint);
    }
    for (std::size_t from = 0; from < told.size(); from += words_per_message) {
        const auto count = std::min(words_per_message, told.size() - from);
        const auto first = told.begin() + static_cast<std::ptrdiff_t>(from);
        const auto message = encode(suspicion_message{
            {first, first + static_cast<std::ptrdiff_t>(count)},
            to.reach,
            false});
        for (const auto& peer : to.peers) {
            if (hub_.send(peer, suspicion_kind, message)) {
                words_sent_.add(static_cast<double>(count));
            }
        }
    }
}

} // namespace waxwingvale::entry
