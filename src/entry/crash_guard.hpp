#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/decision/silent_runs.hpp>
#include <waxwingvale/decision/suspicion_audience.hpp>
#include <waxwingvale/decision/suspicion_outbox.hpp>
#include <waxwingvale/entry/backend_answer.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/program/metrics.hpp>

#include "entry/listed_processes.hpp"

namespace waxwingvale::entry {

// An attempt of a request that has ended, or a probe, and what it tells.
struct attempt_sign {
    std::string backend_server;
    backend_incarnation incarnation = 0; // to which it was sent; 0: not known
    time_point sent{};
    const backend_answer& answer;
};

// The fingerprints of a request: of its very copies, and of all that differ
// from it in the values of their headers only.
struct copy_fingerprints {
    decision::request_fingerprint same;
    decision::request_fingerprint varying;
};

copy_fingerprints fingerprints_of(const decision::copy_identity& request);

// Keeps requests that end backend servers from being run again and again: the
// quarantine with its clock, the signs of backend servers as attempts, probes
// and the registry show them, and word to and from those of the other entry
// processes that have to know.
class crash_guard {
public:
    crash_guard(const std::string& self, io::message_hub& hub,
                kernel::timer_service& timers, program::gauge suspicions,
                program::counter words_sent);

    // False while no request is under suspicion: then fingerprints need not
    // even be computed.
    bool watching() const { return quarantine_.size() > 0; }
    // Told once a second of all fingerprints that are refused, if these have
    // changed.
    void
    on_refused(std::function<void(const std::vector<std::uint64_t>&)> handler) {
        on_refused_ = std::move(handler);
    }

    // Whether the fingerprint of a request that passed is worth computing: of
    // each while some are under suspicion, else of every eighth, which soon
    // finds those that are popular and must not become suspects.
    bool wants_pass();

    decision::quarantine_decision admit(const copy_fingerprints& of);
    // Whether a request that has waited since may run beside others.
    bool may_run_in_company(const copy_fingerprints& of);

    void follow(const view& now, const decision::service_ownerships& owners);
    // A peer asks for slots. To be called before it is answered: what it sends
    // on a slot is then judged by what is known here.
    void on_slots_asked(const std::string& peer);
    // What an attempt or a probe shows of the backend server.
    void on_sign(const attempt_sign& shown);
    // Whether an attempt ended in a way in which its server may have ended.
    static bool may_be_lost(const backend_answer& answer);
    // An attempt of the request got no whole answer; `alone` if it was the
    // trial of a suspect. To be called before on_sign().
    void on_lost(const copy_fingerprints& of, const attempt_sign& shown,
                 bool alone);
    // An attempt was sent on a slot that no owner gave, as others may do too
    // while the owners are out of reach.
    void on_sent_unasked();
    void on_passed(const copy_fingerprints& of, time_point sent);
    // A request that may only run alone was sent to that backend server.
    void on_trial_placed(const copy_fingerprints& of,
                         const std::string& backend_server,
                         backend_incarnation incarnation);
    void on_trial_abandoned(const copy_fingerprints& of);
    // This instance has become partitioned from the servers, the last of which
    // was reached then.
    void on_partitioned(std::optional<time_point> reached);

private:
    using words = std::vector<decision::suspicion_update>;

    decision::backend_process process_of(const std::string& backend_server,
                                         backend_incarnation incarnation) const;
    void on_answered(const attempt_sign& shown);
    void on_ended(const decision::backend_process& process);
    void suspect(const std::vector<decision::silent_run>& runs, bool alone);
    void take(const std::string& peer, const std::vector<std::uint8_t>& bytes);
    // Tells those who have to know of what was found out here.
    void tell(const words& told);
    // Peers find most of this out for themselves, so that one tells it for all.
    void tell_later(const words& told);
    void tell_waiting(time_point now);
    void pass_on(const words& told, const std::string& origin,
                 const decision::suspicion_reach& reach);
    // Sends word at once, or together with what else is told a moment later.
    void post(const words& told, const decision::suspicion_recipients& to);
    // Drops requests that were cleared before anybody was told of them.
    words worth_telling(const words& told);
    void send_gathered(time_point now);
    void send_batch(const decision::suspicion_batch& batch, time_point now);
    void send(const words& told, const decision::suspicion_recipients& to);
    void follow_link(const std::string& peer, bool up);
    void tell_all_known(const std::set<std::string>& peers);
    void ask_registrars();
    bool take_word(const decision::suspicion_update& word,
                   const std::string& peer);
    bool is_refused_here_only(const decision::suspicion_update& word);
    void forget(time_point now);

    std::string self_;
    io::message_hub& hub_;
    kernel::timer_service& timers_;
    program::gauge suspicions_;
    program::counter words_sent_;
    decision::quarantine quarantine_;
    decision::silent_runs silent_;
    listed_processes listed_;
    // The latest start of each backend server that has named its start.
    std::map<std::string, backend_incarnation> starts_;
    std::function<void(const std::vector<std::uint64_t>&)> on_refused_;
    std::vector<std::uint64_t> refused_; // as told last
    decision::suspicion_audience audience_;
    decision::suspicion_outbox outbox_;
    kernel::timer_service::subscription gathering_;
    // Requests of which this instance has told or heard.
    std::set<decision::request_fingerprint> told_;
    unsigned passes_ = 0;
    // What is to be told of fingerprints that are suspects no more, and when,
    // unless a peer tells it first.
    std::map<decision::request_fingerprint, time_point> to_tell_;
    duration own_turn_; // how long others are given to tell it
    kernel::timer_service::subscription telling_;
    kernel::timer_service::subscription forgetting_;
};

} // namespace waxwingvale::entry
