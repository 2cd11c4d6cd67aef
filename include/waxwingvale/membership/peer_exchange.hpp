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
#include <waxwingvale/membership/news_routes.hpp>

namespace waxwingvale::membership {

// The periods, delays, timeouts and limits of peer_exchange.
struct exchange_timing {
    // One digest is sent to one peer per period. It recovers updates that were
    // lost with a broken link.
    duration digest_period = std::chrono::seconds(5);
    // When two central instances open a link, one of them compares tables after
    // a random delay up to this, so that instances which start together do not
    // all compare at once.
    duration greeting_spread = std::chrono::milliseconds(500);
    // Tables are compared with a linked peer that is still no known member
    // after this: its link may be the only one between two parts of a fleet
    // that do not know each other. Before that it has usually just started and
    // is finding an upstream peer.
    duration stranger_wait = std::chrono::seconds(2);
    // With more changed registry records than this, a digest is sent instead of
    // the records.
    std::size_t most_told = 32;
    // After changes are relayed, the next relay waits this long per member, so
    // that changes in quick succession share a message; a larger fleet has more
    // of them.
    duration relay_wait_per_member = std::chrono::milliseconds(1);
    // The upper limit of that delay.
    duration relay_wait_limit = std::chrono::milliseconds(100);
    // A revision announced by a peer is requested after this delay, within
    // which it usually arrives from the discovery platform.
    duration configuration_wait = std::chrono::milliseconds(250);
    // How long a peer may take to send a requested file. 44 kB, the size of a
    // file with 1,600 routes, take 35 ms on a link of 10 Mbit/s, and several
    // peers may request it at once.
    duration configuration_answer = std::chrono::milliseconds(400);
    // How long a broken link may take to reopen before its peer is accused of
    // being unreachable.
    duration reconnect_grace = std::chrono::milliseconds(500);
    // How long a planned link may take to open for the first time.
    duration connect_grace = std::chrono::seconds(3);
    // A peer that refuted an accusation is accused again after this, if its
    // link is still down.
    duration accuse_again = std::chrono::seconds(30);
    // A newer answer of the platform is announced to a peer when it is newer
    // by this much than the one the peer knows.
    duration word_step = std::chrono::milliseconds(150);
    // How long a peer may take to send requested records.
    duration records_wait = std::chrono::seconds(1);
    // The pause after requested records have arrived, before others are
    // requested: while many tables fill at once, nearly all of them differ all
    // the time.
    duration request_pause = std::chrono::milliseconds(300);
    // The maximum number of subscribers of a machine with one core; in
    // proportion for other sizes,
    std::size_t listeners_per_core = 64;
    // but at least this many.
    std::size_t fewest_listeners = 4;
    // The maximum number of member records, including our own, sent to a new
    // peer whose subscription is declined.
    std::size_t referrals = 8;
    news_timing news;
};

struct exchange_counters {
    std::uint64_t digests_sent = 0;
    std::uint64_t digests_differed = 0;
    std::uint64_t records_requested = 0; // number of requests
    std::uint64_t feeds_changed = 0;
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
    // To be called when the process was stopped for a while. Queries the peers,
    // and restarts the grace periods so that no peer is accused because this
    // process was silent itself.
    void woke_late(time_point now);

    // Sets whether the discovery platform answers. If it does not, newer files
    // are requested from peers without delay.
    void set_platform_answers(bool answers) { platform_answers_ = answers; }

    // All messages to be sent now, including relayed changes.
    std::vector<addressed_message> take_messages(time_point now);
    const std::set<std::string>& linked() const { return routes_.linked(); }
    const news_routes& routes() const { return routes_; }
    // Whether this instance has caught up with a peer: it has received all
    // records that the peer had and it lacked, and the newest configuration
    // that peers announced at the start. The configuration is awaited because a
    // platform that was restored from a copy serves an old one.
    bool introduced() const {
        return introduced_ && (settled_ || files_.has_named());
    }
    const configuration_exchange& files() const { return files_; }
    const exchange_counters& counters() const { return counters_; }
    // Returns and clears the error of the last message that could not be used.
    std::optional<error> take_problem() {
        return std::exchange(problem_, std::nullopt);
    }

private:
    // A request for records that has not been answered yet.
    struct asked_records {
        std::string peer;
        time_point until{};
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
    void take(const std::string& peer, const platform_word& message,
              time_point now);
    void take(const std::string& peer, const records_request& message,
              time_point now);
    void take_age(const std::string& peer, const platform_word& message,
                  time_point now);
    void merge_records(const std::string& peer, const records_message& message,
                       time_point now);
    bool take_listening(const std::string& peer, listening change,
                        time_point now);
    void decline(const std::string& peer);
    void refer(const std::string& peer);
    void take_answer(const std::string& peer, std::uint64_t epoch, bool same);
    void hear_whole(const std::string& peer);
    void want_records(const std::string& peer, const table_fingerprints& theirs,
                      time_point now);
    void ask_for_records(time_point now);
    bool is_member(const std::string& peer) const;
    void want_configuration(const std::string& peer,
                            const revision_message& theirs, time_point now);
    digest_message own_digest() const;
    void send_digest(const std::string& peer, std::uint64_t asks,
                     std::uint64_t answers,
                     listening listens = listening::as_before);
    void send(const std::string& peer, exchange_message message);
    void send_to_all(const std::set<std::string>& peers,
                     exchange_message message);
    std::uint64_t epoch_for(const std::string& peer) const;
    void choose_feed(time_point now);
    void pass_on_changes(time_point now);
    // `changes` are grouped by the peer they came from; an empty name stands
    // for changes learned here.
    void
    tell_by_audience(const std::map<std::string, records_message>& changes);
    duration relay_wait() const;
    void tell(const std::set<std::string>& peers, records_message records);
    void introduce_to(const std::string& peer, time_point now);
    void send_due_greetings(time_point now);
    void pass_on_revision();
    void pass_on_word(time_point now);
    void accuse_silent(time_point now);
    void ask_for_configuration(time_point now);
    void send_due_digest(time_point now);

    known_state state_;
    freshness& fresh_;
    exchange_timing timing_;
    std::mt19937_64 random_;
    news_routes routes_;
    time_point next_digest_;
    time_point next_relay_{};
    std::map<std::string, time_point> greet_at_;
    std::map<std::string, time_point> strangers_; // linked but not members
    // Planned peers without a link, and when they will be accused.
    std::map<std::string, time_point> awaited_;
    std::set<std::string> planned_;
    // Queries whose answer is complete only when the peer's records have
    // arrived: the epoch of the query by peer.
    std::map<std::string, std::uint64_t> records_awaited_;
    std::optional<asked_records> asked_;
    std::optional<differing_peer> differing_; // next to request records from
    time_point next_request_{};
    configuration_exchange files_;
    revision_message announced_;
    std::uint64_t newest_named_ = 0; // newest revision announced by a peer
    std::string newest_named_by_;
    bool platform_answers_ = false;
    bool introduced_ = false;
    bool settled_ = false; // introduced() was true once
    // Peers queried after a late wake-up that have not answered yet. What they
    // say about the platform's age may have waited in the socket meanwhile.
    std::set<std::string> not_heard_since_wake_;
    // The peers from which the changes that wait to be relayed came, by record
    // name.
    std::map<std::string, std::string> member_origin_;
    std::map<std::string, std::string> belief_origin_;
    std::map<std::string, std::string> registry_origin_;
    std::string word_origin_; // the peer that sent the newest platform status
    // The time of the newest platform answer that each peer has announced or
    // was sent.
    std::map<std::string, time_point> word_of_peer_;
    std::vector<addressed_message> outgoing_;
    exchange_counters counters_;
    std::optional<error> problem_;
};

} // namespace waxwingvale::membership
