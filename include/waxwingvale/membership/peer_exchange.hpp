#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/membership/configuration_exchange.hpp>
#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/membership/freshness.hpp>
#include <waxwingvale/membership/known_state.hpp>
#include <waxwingvale/membership/update_tree.hpp>

namespace waxwingvale::membership {

// The periods, delays, timeouts and limits of peer_exchange.
struct exchange_timing {
    // One digest is sent to one peer per period. It recovers updates that were
    // lost with a broken link.
    duration digest_period = std::chrono::seconds(5);
    // When two central instances open a link, one of them compares tables after
    // a random delay up to this, so that instances which start together do not
    // all compare at once.
    duration initial_digest_jitter = std::chrono::milliseconds(500);
    // Tables are compared with a linked peer that is still no known member
    // after this: its link may be the only one between two parts of a fleet
    // that do not know each other. Before that it has usually just started and
    // is finding an upstream peer.
    duration unknown_peer_delay = std::chrono::seconds(2);
    // With more changed registry records than this, a digest is sent instead of
    // the records.
    std::size_t max_sent_registry_records = 32;
    // After changes are relayed, the next relay waits this long per member, so
    // that changes in quick succession share a message; a larger fleet has more
    // of them.
    duration relay_delay_per_member = std::chrono::milliseconds(1);
    // The upper limit of that delay.
    duration max_relay_delay = std::chrono::milliseconds(100);
    // A revision announced by a peer is requested after this delay, within
    // which it usually arrives from the discovery platform.
    duration configuration_request_delay = std::chrono::milliseconds(250);
    // How long a peer may take to send a requested file. 44 kB, the size of a
    // file with 1,600 routes, take 35 ms on a link of 10 Mbit/s, and several
    // peers may request it at once.
    duration configuration_answer_timeout = std::chrono::milliseconds(400);
    // How long a broken link may take to reopen before its peer is accused of
    // being unreachable.
    duration reconnect_grace = std::chrono::milliseconds(500);
    // How long a planned link may take to open for the first time.
    duration connect_grace = std::chrono::seconds(3);
    // A peer that refuted an accusation is accused again after this, if its
    // link is still down.
    duration accusation_interval = std::chrono::seconds(30);
    // A newer answer of the platform is announced to a peer when it is newer
    // by this much than the one the peer knows.
    duration min_platform_status_step = std::chrono::milliseconds(150);
    // How long a peer may take to send requested records.
    duration records_answer_timeout = std::chrono::seconds(1);
    // The pause after requested records have arrived, before others are
    // requested: while many tables fill at once, nearly all of them differ all
    // the time.
    duration records_request_pause = std::chrono::milliseconds(300);
    // The maximum number of subscribers of a machine with one core; in
    // proportion for other sizes,
    std::size_t subscribers_per_core = 64;
    // but at least this many.
    std::size_t min_subscribers = 4;
    // The maximum number of peers that are queried at once after a late
    // wake-up.
    std::size_t max_wakeup_queries = 8;
    // The maximum number of member records, including our own, sent to a new
    // peer whose subscription is declined.
    std::size_t max_referrals = 8;
    update_tree_timing tree;
};

struct exchange_counters {
    std::uint64_t digests_sent = 0;
    std::uint64_t digests_differed = 0;
    std::uint64_t record_requests = 0; // number of requests
    std::uint64_t upstream_changes = 0;
    std::uint64_t records_sent = 0;
    std::uint64_t records_received = 0;
    std::uint64_t configurations_requested = 0;
    std::uint64_t configurations_sent = 0;
    std::uint64_t configurations_received = 0;
    std::uint64_t configurations_malformed = 0;
    std::uint64_t accusations = 0;
};

// Exchanges what this entry instance knows with its peers: changes are relayed
// at once along the update tree, and periodic digests recover what was lost.
// Does no I/O: the caller passes in received messages and the current time, and
// fetches the messages to send.
class peer_exchange {
public:
    peer_exchange(known_state state, freshness& fresh, exchange_timing timing,
                  std::uint64_t seed, time_point now);

    // Sets the peers to which links should be open, and the central instances,
    // which send all updates to each other. A peer whose link does not open
    // within the grace period is accused of being unreachable.
    void plan(const std::set<std::string>& peers, std::set<std::string> central,
              time_point now);
    void link_up(const std::string& peer, time_point now);
    void link_down(const std::string& peer, time_point now);
    // One of two links with the peer was closed; the other stays open.
    void link_replaced(const std::string& peer, time_point now);

    void receive(const std::string& peer, const exchange_message& message,
                 time_point now);
    void tick(time_point now);
    // To be called when the process was stopped for that long. Queries peers;
    // the time counts for no grace period, so that no peer is accused because
    // this process was silent itself.
    void woke_late(duration stopped, time_point now);

    // Sets whether the discovery platform answers. If it does not, newer files
    // are requested from peers without delay.
    void set_platform_answers(bool answers) { platform_answers_ = answers; }

    // All messages to be sent now, including relayed changes.
    std::vector<addressed_message> take_messages(time_point now);
    const std::set<std::string>& linked() const { return tree_.linked(); }
    const update_tree& tree() const { return tree_; }
    // Whether this instance has caught up with a peer: it has received all
    // records that the peer had and it lacked, and the newest configuration
    // that peers announced at the start. The configuration is awaited because a
    // platform that was restored from a copy serves an old one.
    bool introduced() const {
        return introduced_ &&
               (was_introduced_ || configurations_.has_newest_announced());
    }
    const configuration_exchange& files() const { return configurations_; }
    // See configuration_exchange.
    void offer_files_by(configuration_exchange::offerer offers) {
        configurations_.offer_by(std::move(offers));
    }
    const exchange_counters& counters() const { return counters_; }
    // Returns and clears the error of the last message that could not be used.
    std::optional<error> take_error() {
        return std::exchange(last_error_, std::nullopt);
    }

private:
    // A request for records that has not been answered yet.
    struct open_records_request {
        std::string peer;
        time_point deadline{};
    };

    // A peer whose tables differed from ours.
    struct differing_peer {
        std::string peer;
        table_fingerprints tables;
    };

    void take(const std::string& peer, const digest_message& message,
              time_point now);
    void take(const std::string& peer, const records_message& message,
              time_point now);
    void take(const std::string& peer, const revision_message& message,
              time_point now);
    void take(const std::string& peer, const configuration_request& message,
              time_point now);
    void take(const std::string& peer, const configuration_message& message,
              time_point now);
    void take(const std::string& peer, const platform_status& message,
              time_point now);
    void take(const std::string& peer, const records_request& message,
              time_point now);
    void handle_platform_age(const std::string& peer,
                             const platform_status& message, time_point now);
    void merge_records(const std::string& peer, const records_message& message,
                       time_point now);
    bool handle_subscription(const std::string& peer,
                             subscription_change change, time_point now);
    void decline(const std::string& peer);
    void send_referrals(const std::string& peer);
    void handle_query_answer(const std::string& peer, std::uint64_t epoch,
                             bool same);
    void handle_tables_complete(const std::string& peer);
    void queue_records_request(const std::string& peer,
                               const table_fingerprints& theirs,
                               time_point now);
    void send_due_records_request(time_point now);
    bool is_member(const std::string& peer) const;
    void handle_announced_revision(const std::string& peer,
                                   const revision_message& theirs,
                                   time_point now);
    digest_message own_digest() const;
    void send_digest(const std::string& peer, std::uint64_t asks,
                     std::uint64_t answers,
                     subscription_change listens = subscription_change::none);
    void send(const std::string& peer, exchange_message message);
    void send_to_all(const std::set<std::string>& peers,
                     exchange_message message);
    std::vector<std::string> wakeup_queries() const;
    void query_after_wakeup(const std::string& peer);
    std::uint64_t query_epoch_for(const std::string& peer) const;
    void choose_upstream(time_point now);
    void relay_changes(time_point now);
    // `changes` are grouped by the peer they came from; an empty name stands
    // for changes learned here.
    void
    send_by_recipients(const std::map<std::string, records_message>& changes);
    duration relay_delay() const;
    void send_records(const std::set<std::string>& peers,
                      records_message records);
    void introduce_self(const std::string& peer, time_point now);
    void send_due_initial_digests(time_point now);
    void announce_revision();
    void relay_platform_status(time_point now);
    void accuse_unreachable(time_point now);
    void send_due_configuration_request(time_point now);
    void send_periodic_digest(time_point now);

    known_state state_;
    freshness& fresh_;
    exchange_timing timing_;
    std::mt19937_64 random_;
    update_tree tree_;
    time_point next_digest_at_;
    time_point next_relay_at_{};
    std::map<std::string, time_point> initial_digest_at_;
    std::map<std::string, time_point> unknown_peers_; // linked but not members
    // Planned peers without a link, and when they will be accused.
    std::map<std::string, time_point> accuse_at_;
    std::set<std::string> planned_peers_;
    // Queries whose answer is complete only when the peer's records have
    // arrived: the epoch of the query by peer.
    std::map<std::string, std::uint64_t> epochs_awaiting_records_;
    std::optional<open_records_request> open_records_request_;
    std::optional<differing_peer>
        next_differing_peer_; // next to request records from
    time_point next_records_request_at_{};
    configuration_exchange configurations_;
    revision_message announced_revision_;
    std::uint64_t newest_announced_ = 0; // newest revision announced by a peer
    std::string newest_announced_by_;
    bool platform_answers_ = false;
    bool introduced_ = false;
    bool was_introduced_ = false; // introduced() was true once
    // Peers that have not answered a query since the last late wake-up. What
    // they say about the platform's age may have waited in the socket
    // meanwhile.
    std::set<std::string> unheard_since_wakeup_;
    std::set<std::string> queried_since_wakeup_;
    // The peers from which the changes that wait to be relayed came, by record
    // name.
    std::map<std::string, std::string> member_origin_;
    std::map<std::string, std::string> belief_origin_;
    std::map<std::string, std::string> registry_origin_;
    std::string platform_status_origin_; // the peer that sent the newest
                                         // platform status
    // The time of the newest platform answer that each peer has announced or
    // was sent.
    std::map<std::string, time_point> platform_time_of_peer_;
    std::vector<addressed_message> outgoing_;
    exchange_counters counters_;
    std::optional<error> last_error_;
};

} // namespace waxwingvale::membership
