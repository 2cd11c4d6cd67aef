#pragma once

#include <optional>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Whether this instance reaches backend servers over new connections.
enum class backend_reach {
    in_touch,
    doubtful,   // an attempt failed, and a check is under way
    partitioned // no server answers here, and some answer a peer
};

// The lower-case word for it, as it appears in logs.
const char* to_string(backend_reach reach);

// How an attempt failed.
enum class failure_kind {
    unconnected, // no connection came about: shown to all as an end
    unanswered   // a connection ended, or nobody waits any longer
};

// What a failed attempt, such as a refused connection, shows of its server.
enum class failure_meaning {
    of_server,    // this instance reaches other servers
    unproven,     // no server answers this instance, nor any peer
    of_partition, // nothing: no server answers this instance alone
    open          // a check is under way; see on_settled()
};

struct reach_limits {
    // A connection that was made so long ago and has brought an answer shows
    // that connections that end are ended by servers. Where no connection comes
    // about it shows nothing.
    duration proof_lasts = std::chrono::milliseconds(100);
    // How long servers and peers have to answer a check.
    duration check_timeout = std::chrono::milliseconds(250);
    // While no server answers anybody, checks begin at most so often, and
    // nothing waits for them.
    duration unproven_pause = std::chrono::seconds(1);
    // How long an instance that no server has ever answered waits for its first
    // link to a peer, and refuses what it would send.
    duration first_peer_within = std::chrono::seconds(2);
    // Servers must answer for so long before a partitioned instance uses them
    // again, twice as long after each return that did not last.
    duration return_after = std::chrono::milliseconds(500);
    duration return_after_max = std::chrono::seconds(8);
    // A return that lasts so long was none of a partition that comes and goes.
    duration lasting_return = std::chrono::seconds(20);
};

// Decides whether this instance is partitioned from the backend servers, from
// the ends of attempts and the answers to checks. Only answers over connections
// made after a failure disprove a partition: those made before may live on.
// Only a peer that servers answer tells a partition from servers that are down
// or slow. Pure: the caller passes the time in and carries out checks.
class reach_monitor {
public:
    explicit reach_monitor(const reach_limits& limits) : limits_(limits) {}

    backend_reach reach() const { return reach_; }
    // Whether what would be sent to servers waits for the check.
    bool holds() const {
        return reach_ == backend_reach::doubtful && !unproven_;
    }
    // Whether what would be sent is refused instead: no server has ever
    // answered, a check has failed, and no peer is linked that could tell why.
    bool refuses() const { return holds() && lacks_peers_; }
    // Whether a check is to be begun, or begun anew: servers are asked over new
    // connections, and peers whether servers answer them.
    bool wants_check(time_point now) const;
    void on_check_begun(time_point now, bool has_peers = true);

    // An attempt got no answer.
    failure_meaning on_failure(failure_kind kind, time_point now);
    // A server answered over a connection whose making began at that moment.
    void on_answer(time_point connecting_began, time_point now);
    // All servers that the check asked have failed to answer.
    void on_check_failed(time_point now);
    // No server could be asked.
    void on_check_void();
    // Servers answer a peer, as it said after the check began.
    void on_peer_in_touch(time_point now);
    // A peer asks whether servers answer here, where none was asked of late.
    // Begins a check for which nothing waits.
    void on_question(time_point now);
    void tick(time_point now);

    // When the connection was begun that has brought the latest answer: servers
    // were reached then. Nothing: none has answered yet.
    std::optional<time_point> last_proof() const { return proven_; }
    // What failures mean that were open, once it is known.
    failure_meaning settled_as() const;

private:
    bool awaits_first_peer(time_point now) const;
    void end_late_check(time_point now);
    void settle(time_point now);
    void become_partitioned(time_point now);
    void return_to_servers(time_point now);

    reach_limits limits_;
    backend_reach reach_ = backend_reach::in_touch;
    // When the connection was begun that brought the latest proof.
    std::optional<time_point> proven_;
    time_point check_began_{};
    bool check_running_ = false;
    bool servers_failed_ = false; // all that the check asked
    bool peer_in_touch_ = false;  // since the check began
    bool unproven_ = false;       // the last check settled nothing
    bool has_peers_ = true;       // when the check began
    bool lacks_peers_ = false;    // the last check failed without any
    time_point doubt_began_{};
    std::optional<time_point> answers_since_; // while partitioned
    std::optional<time_point> returned_;
    duration return_after_{};
};

} // namespace waxwingvale::decision
