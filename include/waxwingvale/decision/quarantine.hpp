#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include <waxwingvale/decision/crash_record.hpp>
#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/process_signs.hpp>
#include <waxwingvale/decision/recent_answers.hpp>
#include <waxwingvale/decision/server_sign.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The state of a fingerprint.
enum class suspicion_state {
    suspect,    // was in flight at a process that has ended, or may have
    cleared,    // got a complete answer after that, or the process lives
    quarantined // ends the processes that run it
};

// A run that was lost, as sent to the other entry instances.
struct told_run {
    backend_process process;
    std::string seen_by;
    std::uint64_t number = 0;
    bool alone = false;
    run_verdict verdict = run_verdict::open;
    duration age{};
    std::uint64_t variant = 0; // see lost_run
};

// The state of a fingerprint as sent to the other entry instances. It carries
// ages instead of times because the clocks of two processes cannot be
// compared.
struct suspicion_update {
    request_fingerprint fingerprint;
    suspicion_state state = suspicion_state::suspect;
    std::string tester;           // the entry instance that may run the trial
    backend_process last_crashed; // where a run was lost last
    duration age{};               // since the latest change
    // None: from an instance of an older release.
    std::vector<told_run> runs;
    // Of the latest trial, since `tester` began it.
    std::optional<duration> trial_age;
};

// Run the request like any other.
struct run_normally {};

// Run the request as a trial: on a backend server other than `avoid` that runs
// no other request meanwhile. Call on_trial_placed, and then on_answered,
// on_trial_abandoned or on_connection_lost.
struct run_alone {
    std::string avoid;
};

// The request did not run. It is a suspect, and another copy is on trial,
// another entry instance (`tester`) may run the trial, or it has not shown yet
// what became of the process of the last trial.
struct refuse_suspect {
    std::string tester;
    duration retry_after{};
};

// The request did not run and will not run. Retries get the same answer.
struct refuse_quarantined {};

using quarantine_decision =
    std::variant<run_normally, run_alone, refuse_suspect, refuse_quarantined>;

struct quarantine_limits {
    // How long after the latest change a fingerprint is kept.
    duration retention = std::chrono::minutes(10);
    // The same of one that is no suspect any more: word of it may be late.
    duration cleared_retention = std::chrono::seconds(30);
    // How long only the tester may run the trial of a suspect.
    duration trial_reservation = std::chrono::seconds(10);
    // How long the next trial waits until it has shown whether the last one
    // ended its process.
    duration verdict_wait = std::chrono::seconds(5);
    duration retry_after = std::chrono::milliseconds(500);
    // How long after a complete answer a request cannot become a suspect.
    duration trust_period = std::chrono::seconds(10);
    std::size_t max_fingerprints = 4096;
};

// Prevents a request that ends every process on which it runs from ending more
// than two, without refusing the requests that were in flight beside it, or
// those that only lost their connection.
//
// Only a run that was alone on a process that provably ended is evidence
// against a request; see server_sign and crash_record.
class quarantine {
public:
    // `self` is this entry instance's name.
    quarantine(std::string self, const quarantine_limits& limits);

    // Must be called before a request is dispatched. run_alone marks a trial as
    // in progress, of which the peers are to be told by update_on().
    quarantine_decision admit(request_fingerprint fingerprint, time_point now);
    // What is known of a fingerprint, for the peers.
    std::optional<suspicion_update> update_on(request_fingerprint fingerprint,
                                              time_point now);
    // The state of a fingerprint, or nothing if it is not known.
    std::optional<suspicion_state> state_of(request_fingerprint fingerprint,
                                            time_point now);
    // Whether a request that has waited since it was admitted may still run
    // beside others.
    bool may_run_in_company(request_fingerprint fingerprint, time_point now);

    // The connection of a request of this entry instance ended without an
    // answer, at that moment; `alone` if the process ran nothing else, and
    // `variant` as in lost_run. Returns an update for the peers, if there is
    // any.
    std::optional<suspicion_update> on_connection_lost(
        request_fingerprint fingerprint, const backend_process& process,
        bool alone, time_point lost, time_point now, std::uint64_t variant = 0);
    // Shows that the process answered what was sent to it at that moment.
    // Returns updates for the peers.
    std::vector<suspicion_update>
    on_process_answered(const backend_process& process, time_point sent,
                        time_point now);
    // Shows that the process, and those of its name before it, have ended.
    std::vector<suspicion_update>
    on_process_ended(const backend_process& process, time_point now);
    // This instance has been partitioned from the servers since that moment:
    // what it lost since was lost to nothing of theirs. Returns updates for the
    // peers.
    std::vector<suspicion_update> on_partitioned(time_point since,
                                                 time_point now);
    // A backend server has ended with these requests of this entry instance in
    // flight.
    std::vector<suspicion_update>
    on_backend_died(const backend_process& died,
                    const std::vector<request_fingerprint>& in_flight,
                    time_point now);

    // A request that was sent at that moment got a complete answer, and not one
    // that says that the server failed. Returns an update for the peers if the
    // request was a suspect and is none any more. To be called for all
    // requests, not only suspects: a request that was answered a short while
    // ago, such as a popular read, does not become a suspect when its backend
    // server crashes, so that no caller has to wait for its trial.
    std::optional<suspicion_update> on_answered(request_fingerprint fingerprint,
                                                time_point now);
    std::optional<suspicion_update> on_answered(request_fingerprint fingerprint,
                                                time_point sent,
                                                time_point now);

    // The trial that admit() allowed has been sent to this backend process.
    // Other copies may still be in flight elsewhere; a crash of their backend
    // servers proves nothing.
    void on_trial_placed(request_fingerprint fingerprint,
                         const backend_process& backend);

    // A trial ended without a result: the request was not started, or it got no
    // answer although the backend server is still running.
    void on_trial_abandoned(request_fingerprint fingerprint);

    // Merges an update from a peer. Returns true if it changed the state here
    // and should be forwarded.
    bool merge(const suspicion_update& update, time_point now);

    // Whether it is open, or may be in doubt, what became of a process of that
    // server.
    bool asks_about(const std::string& backend_server) const {
        return in_question_.count(backend_server) != 0;
    }

    // Returns all suspects and quarantined fingerprints, for a peer that has
    // just started or was cut off.
    std::vector<suspicion_update> snapshot(time_point now) const;
    // Returns the quarantined fingerprints.
    std::vector<std::uint64_t> quarantined(time_point now) const;

    // Removes expired fingerprints.
    void tick(time_point now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        crash_record record;
        std::string tester;
        time_point changed_at{};
        std::optional<time_point> trial_began; // the latest, by `tester`
        // A peer of an older release has proof that it does not tell.
        bool proven_elsewhere = false;
        bool trial_running = false;
        backend_process trial_backend; // set when the trial has been placed

        suspicion_state state() const;
    };

    entry* find(request_fingerprint fingerprint, time_point now);
    entry* find_or_add(request_fingerprint fingerprint, time_point now);
    bool expired(const entry& known, time_point now) const;
    bool add_run(entry& to, const lost_run& run);
    bool merge_runs(entry& into, const suspicion_update& update,
                    time_point now);
    static bool merge_trial(entry& into, const suspicion_update& update,
                            time_point now);
    time_point reserved_until(const entry& of) const;
    bool merge_state(entry& into, const suspicion_update& update,
                     time_point now);
    template <typename Change>
    std::vector<suspicion_update> change_all(time_point now, Change change);
    bool make_room(time_point now);
    suspicion_update update_for(request_fingerprint fingerprint,
                                const entry& known, time_point now) const;

    std::string self_;
    quarantine_limits limits_;
    std::map<request_fingerprint, entry> entries_;
    recent_answers recent_answers_;
    process_signs signs_;
    std::unordered_set<std::string> in_question_; // names of backend servers
};

} // namespace waxwingvale::decision
