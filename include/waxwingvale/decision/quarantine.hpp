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
#include <waxwingvale/decision/recent_passes.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// One life of a backend server.
struct backend_life {
    std::string backend_server;
    std::uint64_t incarnation = 0;

    friend bool operator==(const backend_life& a, const backend_life& b) {
        return std::tie(a.backend_server, a.incarnation) ==
               std::tie(b.backend_server, b.incarnation);
    }
};

// What is known of a fingerprint; each state beats the ones before it.
enum class suspicion_state {
    suspect,    // was in flight when a backend server died
    cleared,    // ran to its end after that
    quarantined // proved to kill what runs it
};

// Word about a fingerprint for the other entry instances. Ages are "how long
// ago", since clocks of two processes cannot be compared.
struct suspicion_word {
    request_fingerprint fingerprint;
    suspicion_state state = suspicion_state::suspect;
    std::string tester; // the one entry instance that may run it, alone
    backend_life died;  // the latest death
    duration age{};     // since the latest death, clearing or proof
};

// Run it as any other.
struct run_normally {};

// Run it alone: no other request on the backend server meanwhile, and not on
// `avoid`. Report on_trial_placed, and then on_passed, on_trial_abandoned or
// on_backend_died.
struct run_alone {
    std::string avoid;
};

// Never ran; under suspicion, and another copy is being tried or another entry
// instance (`tester`) has the trial.
struct refuse_suspect {
    std::string tester;
    duration come_back_in{};
};

// Never ran, and will not: the final answer for this request.
struct refuse_quarantined {};

using quarantine_decision =
    std::variant<run_normally, run_alone, refuse_suspect, refuse_quarantined>;

struct quarantine_limits {
    // How long after the latest death, clearing or proof all is forgotten.
    duration kept_for = std::chrono::minutes(10);
    // How long the trial of a suspect is left to its tester.
    duration reserved_for = std::chrono::seconds(10);
    duration come_back_in = std::chrono::milliseconds(500);
    // For how long a request that passed is no suspect at all.
    duration trusted_for = std::chrono::seconds(10);
    std::size_t fingerprints = 4096;
};

// Keeps a request that kills each backend server running it from killing more
// than two, without shutting out the requests that were beside it.
//
// Only a death during a trial is proof. Two deaths in company are not: when a
// rack or a data centre fails, whatever is popular was in flight on several of
// its backend servers, and shutting that out would turn the failure into ours.
class quarantine {
public:
    // `self` is this entry instance's name.
    quarantine(std::string self, const quarantine_limits& limits);

    // Before a request is dispatched. run_alone marks a trial as under way.
    quarantine_decision admit(request_fingerprint fingerprint, time_point now);

    // A backend server died with these requests in flight from here. Returns
    // word for the peers.
    std::vector<suspicion_word>
    on_backend_died(const backend_life& died,
                    const std::vector<request_fingerprint>& in_flight,
                    time_point now);

    // A request got its whole answer; word for the peers when it was suspect.
    // Told of every request: what passed a moment ago, as popular reads do, is
    // no suspect when its backend server dies, and nobody has to wait for it.
    std::optional<suspicion_word> on_passed(request_fingerprint fingerprint,
                                            time_point now);

    // The trial that admit granted has been sent to that backend server. Other
    // copies may still be in flight elsewhere, whose end proves nothing.
    void on_trial_placed(request_fingerprint fingerprint,
                         const backend_life& on);

    // A trial ended without proof either way: not started, or no answer while
    // the backend server lives on.
    void on_trial_abandoned(request_fingerprint fingerprint);

    // Word from a peer; true when something changed here, and the word is
    // worth passing on.
    bool merge(const suspicion_word& word, time_point now);

    // All that is known, for a peer that has just started.
    std::vector<suspicion_word> words(time_point now) const;
    std::vector<std::uint64_t> quarantined(time_point now) const;

    void tick(time_point now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        suspicion_state state = suspicion_state::suspect;
        std::string tester;
        backend_life died;
        time_point since{};
        bool trial = false;
        backend_life trial_on; // once it is placed
    };

    entry* find(request_fingerprint fingerprint, time_point now);
    bool expired(const entry& of, time_point now) const;
    void add_death(request_fingerprint fingerprint, const entry& death,
                   bool alone);
    bool make_room(time_point now);
    suspicion_word word_for(request_fingerprint fingerprint, const entry& of,
                            time_point now) const;

    std::string self_;
    quarantine_limits limits_;
    std::map<request_fingerprint, entry> entries_;
    recent_passes passed_;
};

} // namespace waxwingvale::decision
