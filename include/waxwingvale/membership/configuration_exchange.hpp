#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/membership/configuration_register.hpp>
#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// A configuration that peers have in force and this instance does not have yet.
struct pending_configuration {
    std::uint64_t revision = 0; // the newest revision that a peer announced
    std::string announced_by;   // the peer that announced it first
    duration
        waiting_time{};    // time since a peer first announced a newer revision
    unsigned requests = 0; // requests sent to peers in that time
};

// Decides which peer is asked for a newer configuration file, and when. Every
// peer announces its revision, so dozens of peers may have the same newer file.
// Only one request is open at a time; the next peer is asked when the file has
// arrived or the request has timed out. After a late wake-up it is a few. Does
// no I/O: the caller passes in messages and the current time.
class configuration_exchange {
public:
    // After `answer_timeout` without an answer, the next peer that announced
    // the file is asked.
    configuration_exchange(configuration_register& configurations,
                           duration answer_timeout);

    // Offers a received file, and returns the outcome. One that is `begun` is
    // read on, and its outcome told later.
    using offerer = std::function<offer_outcome(
        configuration_text, std::function<void(offer_outcome)>)>;
    // In place of the register itself.
    void offer_by(offerer offers) { offer_ = std::move(offers); }

    // Records the revisions that a peer announced. A file that is missing here
    // is requested after `wait`, within which it often arrives from the
    // discovery platform.
    void handle_announcement(const std::string& peer,
                             const revision_message& theirs, duration wait,
                             time_point now);
    // Records that the peer knows of a revision whose file it may lack itself.
    void hear_of(const std::string& peer, std::uint64_t revision,
                 time_point now);
    void handle_link_down(const std::string& peer);
    // Whether the newest file that a peer announced has been accepted or
    // refused here.
    bool has_newest_announced() const;
    // The newest revision that any peer has announced or knows of, or 0.
    std::uint64_t named() const { return newest_announced_; }
    // Forgets a newer revision that nobody has sent for long and that no linked
    // peer has. A platform that was restored from a copy may have lost it, and
    // it would be awaited for ever.
    void forget_unobtainable(time_point now);
    // Empty while no newer revision is known of.
    std::optional<pending_configuration> pending(time_point now) const;
    // How long a newer revision has been known of; empty while none is.
    std::optional<duration> behind_for(time_point now) const;
    // The peer that sent the file accepted last, if it has this revision;
    // otherwise an empty name.
    std::string sender_of(std::uint64_t revision) const;
    // The next request to send, if one is due.
    std::optional<addressed_message> due_request(time_point now);

    // The files here that the requesting peer does not have.
    std::vector<configuration_message>
    answer(const configuration_request& request);
    // Offers a received file. Error: the bytes cannot be unpacked; the file is
    // then requested again.
    result<offer_outcome> receive(const std::string& peer,
                                  const configuration_message& message);

    // To be called when the process was stopped for a while. Until it has run
    // for a time, several peers are asked at once: one that does not answer
    // before the next stop would cost the time until the next wake-up.
    void woke_late(time_point now) { woke_late_at_ = now; }
    // Whether that was a moment ago.
    bool woke_recently(time_point now) const;

    revision_message own_revision() const;

private:
    // The newest revisions that a linked peer has announced.
    struct peer_announcement {
        revision_message announced;
        time_point next_request_at{}; // no further request before this
        // Unanswered requests, with an upper limit; a file that arrives
        // reduces them by one.
        unsigned unanswered_requests = 0;
    };
    using announcements = std::map<std::string, peer_announcement>;

    struct open_request {
        std::string peer;
        time_point deadline{};
    };

    struct received_file {
        std::uint64_t revision = 0;
        std::string peer;
    };

    // Forgets the revisions that are no longer newer than the one in force.
    void forget_passed();
    void record_announced(const std::string& peer, std::uint64_t revision,
                          time_point now);
    bool any_peer_has_newer() const;
    bool lacks(const revision_message& theirs) const;
    bool is_open(const open_request& request, time_point now) const;
    bool may_request(time_point now) const;
    bool lacks_any() const;
    announcements::iterator best_request_target(time_point now);
    void clear_open_request(const std::string& peer);
    void record_received(const std::string& peer, std::uint64_t revision);
    void take_outcome(const std::string& peer, std::uint64_t revision,
                      offer_outcome outcome);
    void mark_rejected(std::uint64_t revision);
    configuration_message packed_message(const configuration_text& file);

    configuration_register& configurations_;
    offerer offer_;
    unsigned being_read_ = 0; // files; no other is requested meanwhile
    duration answer_timeout_;
    announcements announcements_; // by the names of linked peers
    // The newest announcement of any peer, also of peers whose link is down.
    revision_message newest_announcement_;
    // No request is sent before this time; set by the first announcement of a
    // missing file.
    time_point request_at_{};
    std::vector<open_request> open_requests_;
    std::optional<time_point> woke_late_at_;
    // Revisions that arrived and were not accepted; not requested again.
    std::set<std::uint64_t> rejected_revisions_;
    std::uint64_t newest_announced_ = 0; // also those only known to exist
    std::string newest_announced_by_;
    std::uint64_t unobtainable_ = 0; // the newest revision given up
    // The revisions that are newer than the one in force, and since when each
    // is known of. A file that arrives is not always the newest one.
    std::map<std::uint64_t, time_point> known_since_;
    unsigned requests_while_behind_ = 0;
    received_file received_; // the file from a peer that was accepted last
    // Cache of the last file sent: the next peer probably requests the same
    // file, and packing 294 kB takes 3.7 ms of a core.
    configuration_message last_packed_;
};

} // namespace waxwingvale::membership
