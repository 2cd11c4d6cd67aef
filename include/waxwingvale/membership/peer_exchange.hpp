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

// The exchange's paces.
struct exchange_timing {
    // One digest goes to one peer in each of these; with it, anything that a
    // broken link swallowed is found again.
    duration digest_period = std::chrono::seconds(5);
    // Of two central instances that open a link one compares tables within
    // this, so that many that start together do not do it all at once.
    duration greeting_spread = std::chrono::milliseconds(500);
    // A peer that is no member by then is compared with: it may be the only
    // link between two parts of a fleet that know nothing of each other. Sooner
    // it has as a rule only just started, and finds a feed.
    duration stranger_wait = std::chrono::seconds(2);
    // More registered backend servers than these are offered, not told.
    std::size_t most_told = 32;
    // Changes that follow one another are passed on together after this for
    // each member: more of them follow one another in a larger fleet,
    duration relay_wait_per_member = std::chrono::milliseconds(1);
    // and after this at most.
    duration relay_wait_limit = std::chrono::milliseconds(100);
    // A revision that a peer announced is asked for after this long, in which
    // the platform usually tells it.
    duration configuration_wait = std::chrono::milliseconds(250);
    // A peer that was asked for it has so long to send it: 44 kB, as large a
    // file as 1,600 routes make, take 35 ms of a link of 10 Mbit/s, and a few
    // peers may ask at once.
    duration configuration_answer = std::chrono::milliseconds(400);
    // A link that broke may be opened again for this long before its peer is
    // accused.
    duration reconnect_grace = std::chrono::milliseconds(500);
    // A planned link that never opened.
    duration connect_grace = std::chrono::seconds(3);
    // A peer that refuted is accused again after this, if its link is still
    // missing.
    duration accuse_again = std::chrono::seconds(30);
    // Word of the platform is passed on when it is newer by so much.
    duration word_step = std::chrono::milliseconds(150);
    // Records that were asked for may take this long to come.
    duration records_wait = std::chrono::seconds(1);
    // After they came no peer is asked for others this soon, whatever differs:
    // while many tables fill at once, nearly all differ all the time.
    duration request_pause = std::chrono::milliseconds(300);
    // A whole core tells its news to so many listeners at most, a smaller
    // machine to its part of them,
    std::size_t listeners_per_core = 64;
    // but to so many at least.
    std::size_t fewest_listeners = 4;
    // Whoever is declined is told of so many others.
    std::size_t referrals = 8;
    news_timing news;
};

struct exchange_counters {
    std::uint64_t digests_sent = 0;
    std::uint64_t digests_differed = 0;
    std::uint64_t records_requested = 0; // times
    std::uint64_t feeds_changed = 0;
    std::uint64_t records_sent = 0;
    std::uint64_t records_received = 0;
    std::uint64_t configurations_requested = 0;
    std::uint64_t configurations_sent = 0;
    std::uint64_t configurations_received = 0;
    std::uint64_t configurations_malformed = 0;
    std::uint64_t accusations = 0;
};

// Exchanges what this entry instance knows with its peers: changes are passed
// on at once along the routes of news, and digests find what got lost. Pure:
// messages and the time go in, messages come out.
class peer_exchange {
public:
    peer_exchange(known_state state, freshness& fresh, exchange_timing timing,
                  std::uint64_t seed, time_point now);

    // The links that ought to be open, and those of all instances that tell
    // each other all news. Links that do not open within the grace are taken
    // as silence of the peer.
    void plan(const std::set<std::string>& peers, std::set<std::string> central,
              time_point now);
    void link_up(const std::string& peer, time_point now);
    void link_down(const std::string& peer, time_point now);
    // One of two links with the peer has closed, the other stays.
    void link_replaced(const std::string& peer, time_point now);

    void receive(const std::string& peer, const exchange_message& message,
                 time_point now);
    void tick(time_point now);
    // The process was stopped: peers are asked whether anybody is there, and
    // nobody is accused for a silence that was ours.
    void woke_late(time_point now);

    // Whether the platform answers; if not, peers are asked for newer files
    // at once.
    void set_platform_answers(bool answers) { platform_answers_ = answers; }

    // All messages to be sent by now, changes included.
    std::vector<addressed_message> take_messages(time_point now);
    const std::set<std::string>& linked() const { return routes_.linked(); }
    const news_routes& routes() const { return routes_; }
    // Whether some peer has told all that it knows and we did not, the newest
    // configuration that peers named at the start included: a platform that was
    // restored from a copy gives out an old one.
    bool introduced() const {
        return introduced_ && (settled_ || files_.has_named());
    }
    const configuration_exchange& files() const { return files_; }
    const exchange_counters& counters() const { return counters_; }
    // What was wrong with the last message of a peer, told once.
    std::optional<error> take_problem() {
        return std::exchange(problem_, std::nullopt);
    }

private:
    // Records that have been asked for.
    struct asked_records {
        std::string peer;
        time_point until{};
    };

    // A peer whose tables were other than ours.
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
    // By the peer that told us; an empty name: learned here.
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
    std::map<std::string, time_point> strangers_; // linked, but no members
    // Planned peers without a link, and when they will be accused.
    std::map<std::string, time_point> awaited_;
    std::set<std::string> planned_;
    // Epochs whose answers are whole once the peer's records have come.
    std::map<std::string, std::uint64_t> records_awaited_;
    std::optional<asked_records> asked_;
    std::optional<differing_peer> differing_; // to be asked next
    time_point next_request_{};
    configuration_exchange files_;
    revision_message announced_;
    std::uint64_t newest_named_ = 0; // by a peer
    std::string newest_named_by_;
    bool platform_answers_ = false;
    bool introduced_ = false;
    bool settled_ = false; // introduced() was true once
    // Asked after a late wake-up: until they answer, their word may have lain
    // waiting in the socket.
    std::set<std::string> not_heard_since_wake_;
    // Who told us what is waiting to be passed on.
    std::map<std::string, std::string> member_origin_;
    std::map<std::string, std::string> belief_origin_;
    std::map<std::string, std::string> registry_origin_;
    std::string word_origin_; // of the newest word of the platform
    // How new the word was that each peer has told, or was told.
    std::map<std::string, time_point> word_of_peer_;
    std::vector<addressed_message> outgoing_;
    exchange_counters counters_;
    std::optional<error> problem_;
};

} // namespace waxwingvale::membership
