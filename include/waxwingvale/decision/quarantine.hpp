#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/recent_answers.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// One process of a backend server: its name and incarnation.
struct backend_process {
    std::string backend_server;
    std::uint64_t incarnation = 0;

    friend bool operator==(const backend_process& a, const backend_process& b) {
        return std::tie(a.backend_server, a.incarnation) ==
               std::tie(b.backend_server, b.incarnation);
    }
};

// The state of a fingerprint. Later states override earlier ones.
enum class suspicion_state {
    suspect,    // was in flight when a backend server crashed
    cleared,    // got a complete answer after that
    quarantined // crashed a backend server that ran nothing else
};

// The state of a fingerprint as sent to the other entry instances. It carries
// an age instead of a time because the clocks of two processes cannot be
// compared.
struct suspicion_update {
    request_fingerprint fingerprint;
    suspicion_state state = suspicion_state::suspect;
    std::string tester;           // the entry instance that may run the trial
    backend_process last_crashed; // the backend process that crashed last
    duration age{};               // since the latest change of state or crash
};

// Run the request like any other.
struct run_normally {};

// Run the request as a trial: on a backend server other than `avoid` that runs
// no other request meanwhile. Call on_trial_placed, and then on_answered,
// on_trial_abandoned or on_backend_died.
struct run_alone {
    std::string avoid;
};

// The request did not run. It is a suspect, and another copy is on trial or
// another entry instance (`tester`) may run the trial.
struct refuse_suspect {
    std::string tester;
    duration retry_after{};
};

// The request did not run and will not run. Retries get the same answer.
struct refuse_quarantined {};

using quarantine_decision =
    std::variant<run_normally, run_alone, refuse_suspect, refuse_quarantined>;

struct quarantine_limits {
    // How long after the latest crash or change of state a fingerprint is
    // kept.
    duration retention = std::chrono::minutes(10);
    // How long only the tester may run the trial of a suspect.
    duration trial_reservation = std::chrono::seconds(10);
    duration retry_after = std::chrono::milliseconds(500);
    // How long after a complete answer a request cannot become a suspect.
    duration trust_period = std::chrono::seconds(10);
    std::size_t max_fingerprints = 4096;
};

// Prevents a request that crashes every backend server on which it runs from
// crashing more than two, without refusing the requests that were in flight
// beside it.
//
// Only a crash during a trial proves that a request is the cause. Two crashes
// while other requests were in flight prove nothing: when a rack or a data
// centre fails, popular requests were in flight on several of its backend
// servers, and refusing these requests would be an outage caused by the load
// balancer itself.
class quarantine {
public:
    // `self` is this entry instance's name.
    quarantine(std::string self, const quarantine_limits& limits);

    // Must be called before a request is dispatched. run_alone marks a trial as
    // in progress.
    quarantine_decision admit(request_fingerprint fingerprint, time_point now);

    // A backend server crashed with these requests of this entry instance in
    // flight. Returns updates for the peers.
    std::vector<suspicion_update>
    on_backend_died(const backend_process& died,
                    const std::vector<request_fingerprint>& in_flight,
                    time_point now);

    // A request got a complete answer. Returns an update for the peers if the
    // request was a suspect. To be called for all requests, not only suspects:
    // a request that was answered a short while ago, such as a popular read,
    // does not become a suspect when its backend server crashes, so that no
    // caller has to wait for its trial.
    std::optional<suspicion_update> on_answered(request_fingerprint fingerprint,
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

    // Returns all fingerprints, for a peer that has just started.
    std::vector<suspicion_update> snapshot(time_point now) const;
    // Returns the quarantined fingerprints.
    std::vector<std::uint64_t> quarantined(time_point now) const;

    // Removes expired fingerprints.
    void tick(time_point now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        suspicion_state state = suspicion_state::suspect;
        std::string tester;
        backend_process last_crashed;
        time_point changed_at{};
        bool trial_running = false;
        backend_process trial_backend; // set when the trial has been placed
    };

    entry* find(request_fingerprint fingerprint, time_point now);
    bool expired(const entry& known, time_point now) const;
    void record_crash(request_fingerprint fingerprint, const entry& crash,
                      bool during_trial);
    bool make_room(time_point now);
    suspicion_update update_for(request_fingerprint fingerprint,
                                const entry& known, time_point now) const;

    std::string self_;
    quarantine_limits limits_;
    std::map<request_fingerprint, entry> entries_;
    recent_answers recent_answers_;
};

} // namespace waxwingvale::decision
