#include "entry/crash_guard.hpp"

#include <algorithm>
#include <iterator>

#include <waxwingvale/decision/stable_hash.hpp>
#include <waxwingvale/membership/link_plan.hpp>
#include <waxwingvale/program/state_log.hpp>

#include "entry/suspicion_codec.hpp"

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;
using decision::server_sign;

constexpr duration forgetting_period = 1s;
constexpr unsigned passes_for_a_sample = 8;
constexpr std::size_t most_silent_runs = 1024; // two for each request
// A partition is noticed within this time.
constexpr duration partition_unnoticed = 1s;
// All instances that use a server see at about the same moment that it lives.
// Its tester tells of a suspect that is none any more; the others wait, each
// for a time of its own, until nobody has.
constexpr duration testers_turn = 20ms;
constexpr duration others_turn = 300ms;
constexpr duration turn_step = 40ms;
constexpr std::uint64_t turns = 16;
// As long as what was told to an asker is kept there.
constexpr duration asker_kept = 10min;
// Who sends unasked goes on for seconds, until owners that are out of reach
// have been replaced.
constexpr duration unasked_lasts = 10s;
// In a fleet that is no full mesh, word waits for more this long for each
// member, but
constexpr duration gathering_per_member = 1ms;
// no longer than this. An asker is told before its answer all the same.
constexpr duration longest_gathering = 100ms;
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

bool runs_alone(const decision::quarantine_decision& decided) {
    return std::holds_alternative<decision::run_alone>(decided);
}

bool runs_normally(const decision::quarantine_decision& decided) {
    return std::holds_alternative<decision::run_normally>(decided);
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

std::set<std::string> names_of(const std::vector<member>& members) {
    std::set<std::string> names;
    for (const auto& each : members) {
        names.insert(each.id.name);
    }
    return names;
}

std::set<std::string>
registrars_of(const decision::service_ownerships& owners) {
    std::set<std::string> registrars;
    for (const auto& of : owners) {
        for (const auto& owner : of.second.owners) {
            registrars.insert(owner.member.name);
        }
        for (const auto& standby : of.second.standbys) {
            registrars.insert(standby.member.name);
        }
    }
    return registrars;
}

} // namespace

copy_fingerprints fingerprints_of(const decision::copy_identity& request) {
    return {decision::crash_fingerprint_of(request),
            decision::varying_fingerprint_of(request)};
}

crash_guard::crash_guard(const std::string& self, io::message_hub& hub,
                         kernel::timer_service& timers,
                         program::gauge suspicions, program::counter words_sent)
    : self_(self),
      hub_(hub),
      timers_(timers),
      suspicions_(suspicions),
      words_sent_(words_sent),
      quarantine_(self, {}),
      silent_(most_silent_runs),
      audience_(self, asker_kept),
      own_turn_(others_turn +
                turn_step *
                    static_cast<int>(decision::stable_hash(self) % turns)) {
    hub_.on_message(
        suspicion_kind,
        [this](const std::string& peer,
               const std::vector<std::uint8_t>& bytes) { take(peer, bytes); });
    hub_.on_link_change(
        [this](const std::string& peer, bool up) { follow_link(peer, up); });
    hub_.on_link_replaced([this](const std::string& peer) {
        if (audience_.hears(peer)) {
            tell_all_known({peer});
        }
    });
    forgetting_ = timers_.every(forgetting_period,
                                [this](time_point now) { forget(now); });
}

void crash_guard::forget(time_point now) {
    quarantine_.tick(now);
    silent_.tick(now);
    suspicions_.set(static_cast<double>(quarantine_.size()));
    for (auto at = told_.begin(); at != told_.end();) {
        const bool known = quarantine_.state_of(*at, now).has_value();
        at = known ? std::next(at) : told_.erase(at);
    }
    auto refused = quarantine_.quarantined(now);
    if (on_refused_ && refused != refused_) {
        refused_ = std::move(refused);
        on_refused_(refused_);
    }
}

bool crash_guard::wants_pass() {
    return watching() || ++passes_ % passes_for_a_sample == 0;
}

// A trial is one of both, or of none.
decision::quarantine_decision crash_guard::admit(const copy_fingerprints& of) {
    const auto now = timers_.now();
    auto of_varying = quarantine_.admit(of.varying, now);
    const bool varying_alone = runs_alone(of_varying);
    if (!varying_alone && !runs_normally(of_varying)) {
        return of_varying;
    }
    auto of_same = quarantine_.admit(of.same, now);
    const bool same_alone = runs_alone(of_same);
    if (!same_alone && !runs_normally(of_same)) {
        quarantine_.on_trial_abandoned(of.varying);
        return of_same;
    }
    // The peers wait for this trial, whoever was to run it.
    if (varying_alone) {
        tell({*quarantine_.update_on(of.varying, now)});
    }
    if (same_alone) {
        tell({*quarantine_.update_on(of.same, now)});
    }
    return varying_alone ? of_varying : of_same;
}

bool crash_guard::may_run_in_company(const copy_fingerprints& of) {
    const auto now = timers_.now();
    return quarantine_.may_run_in_company(of.same, now) &&
           quarantine_.may_run_in_company(of.varying, now);
}

// An instance that has just started, or was cut off, knows of no suspect, and
// would run a crashing request once more.
void crash_guard::follow_link(const std::string& peer, bool up) {
    outbox_.forget(peer);
    if (!up) {
        audience_.link_down(peer);
        return;
    }
    audience_.link_up(peer);
    tell_all_known({peer});
}

void crash_guard::on_slots_asked(const std::string& peer) {
    const auto now = timers_.now();
    if (audience_.asked_for_slots(peer, now)) {
        outbox_.forget(peer);
        tell_all_known({peer});
        return;
    }
    for (const auto& batch : outbox_.take_for(peer)) {
        send_batch(batch, now);
    }
}

void crash_guard::on_sent_unasked() {
    audience_.tell_everybody_until(timers_.now() + unasked_lasts);
}

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

void crash_guard::follow(const view& now,
                         const decision::service_ownerships& owners) {
    auto members = names_of(now.members);
    const bool full_mesh = members.size() <= membership::full_mesh_limit;
    const auto count = static_cast<duration::rep>(members.size());
    outbox_.set_pause(
        full_mesh ? duration::zero()
                  : std::min(count * gathering_per_member, longest_gathering));
    const bool was_registrar = audience_.is_registrar(self_);
    tell_all_known(audience_.follow(std::move(members), registrars_of(owners),
                                    full_mesh, timers_.now()));
    if (!full_mesh && !was_registrar && audience_.is_registrar(self_)) {
        ask_registrars();
    }
    for (const auto& change : listed_.follow(now)) {
        if (decision::proves_end(change.sign)) {
            on_ended(change.process);
        } else {
            tell_later(quarantine_.on_process_answered(
                change.process, timers_.now(), timers_.now()));
        }
    }
}

// A connection to a server that does not name its start went to the latest one
// that is known.
decision::backend_process
crash_guard::process_of(const std::string& backend_server,
                        backend_incarnation incarnation) const {
    const auto known = starts_.find(backend_server);
    const auto latest = known == starts_.end() ? 0 : known->second;
    return {backend_server, std::max(incarnation, latest)};
}

void crash_guard::on_sign(const attempt_sign& shown) {
    const auto sign = shown.answer.sign;
    const auto process = process_of(shown.backend_server, shown.incarnation);
    if (sign == server_sign::answered) {
        on_answered(shown);
    } else if (decision::proves_end(sign)) {
        on_ended(process);
    } else if (sign == server_sign::silent) {
        const auto lost = silent_.take_unanswered(process, shown.sent);
        suspect(lost, false);
    }
}

void crash_guard::on_answered(const attempt_sign& shown) {
    const auto named = shown.answer.named_incarnation;
    if (named != 0) {
        auto& latest = starts_[shown.backend_server];
        latest = std::max(latest, named);
    }
    const decision::backend_process process{
        shown.backend_server, named != 0 ? named : shown.incarnation};
    silent_.on_answered(process, shown.sent);
    tell_later(
        quarantine_.on_process_answered(process, shown.sent, timers_.now()));
}

void crash_guard::on_ended(const decision::backend_process& process) {
    suspect(silent_.take_lost(process), false);
    tell(quarantine_.on_process_ended(process, timers_.now()));
}

bool crash_guard::may_be_lost(const backend_answer& answer) {
    return answer.outcome == run_outcome::unknown &&
           answer.sign != server_sign::none &&
           answer.sign != server_sign::answered;
}

void crash_guard::on_lost(const copy_fingerprints& of,
                          const attempt_sign& shown, bool alone) {
    const auto process = process_of(shown.backend_server, shown.incarnation);
    const auto now = timers_.now();
    const decision::silent_run same{of.same, process, now, 0};
    const decision::silent_run varying{of.varying, process, now, of.same.value};
    const bool silent = shown.answer.sign == server_sign::silent;
    if (silent && !alone) {
        silent_.add(same);
        silent_.add(varying);
        return;
    }
    program::log_warning("backend_server_lost",
                         {{"backend_server", shown.backend_server},
                          {"sign", to_string(shown.answer.sign)},
                          {"fingerprint", std::to_string(of.same.value)}});
    suspect({same, varying}, alone);
}

void crash_guard::suspect(const std::vector<decision::silent_run>& runs,
                          bool alone) {
    words told;
    for (const auto& run : runs) {
        auto word = quarantine_.on_connection_lost(run.fingerprint, run.process,
                                                   alone, run.ended,
                                                   timers_.now(), run.variant);
        if (word) {
            told.push_back(std::move(*word));
        }
    }
    tell(told);
}

void crash_guard::on_passed(const copy_fingerprints& of, time_point sent) {
    words told;
    for (const auto fingerprint : {of.same, of.varying}) {
        auto word = quarantine_.on_answered(fingerprint, sent, timers_.now());
        if (word) {
            told.push_back(std::move(*word));
        }
    }
    tell(told);
}

void crash_guard::on_trial_placed(const copy_fingerprints& of,
                                  const std::string& backend_server,
                                  backend_incarnation incarnation) {
    const auto process = process_of(backend_server, incarnation);
    quarantine_.on_trial_placed(of.same, process);
    quarantine_.on_trial_placed(of.varying, process);
}

void crash_guard::on_trial_abandoned(const copy_fingerprints& of) {
    quarantine_.on_trial_abandoned(of.same);
    quarantine_.on_trial_abandoned(of.varying);
}

// What was lost before a server was reached for the last time was lost to no
// partition.
void crash_guard::on_partitioned(std::optional<time_point> reached) {
    const auto now = timers_.now();
    const auto earliest = now - partition_unnoticed;
    tell(quarantine_.on_partitioned(
        std::max(earliest, reached.value_or(earliest)), now));
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
            told_.insert(fingerprint);
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
