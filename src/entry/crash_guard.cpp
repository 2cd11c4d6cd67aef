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
// Its tester tells of a suspect that is none any more; the others wait this
// long and for a turn of their own, until nobody has.
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

bool runs_alone(const decision::quarantine_decision& decided) {
    return std::holds_alternative<decision::run_alone>(decided);
}

bool runs_normally(const decision::quarantine_decision& decided) {
    return std::holds_alternative<decision::run_normally>(decided);
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

} // namespace waxwingvale::entry
