#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// What a message about requests under suspicion says of whom its sender told.
struct suspicion_reach {
    // Registrars to which the sender has no link: those that receive the
    // message pass it on to them.
    std::set<std::string> unreached;
    // Digest of the registrars that the sender knows. Where the receiver knows
    // others it tells its own; 0: from an instance of an older release.
    std::uint64_t registrars = 0;
    // Whether it is for everybody, and to be passed on over all links.
    bool for_all = false;

    friend bool operator==(const suspicion_reach& a, const suspicion_reach& b) {
        return std::tie(a.unreached, a.registrars, a.for_all) ==
               std::tie(b.unreached, b.registrars, b.for_all);
    }
};

// To whom a message about requests under suspicion goes.
struct suspicion_recipients {
    std::set<std::string> peers;
    suspicion_reach reach;
};

// Decides which entry instances hear of requests under suspicion. Load: each
// request whose connection ends without an answer makes news, hundreds a second
// while answers are lost; told over all links of all instances, they fill the
// links and processors of a large fleet.
//
// Only an instance that is about to send a request has to know. It sends on a
// slot that an owner gives, so that the owners and their standbys, the
// registrars, are the ones to ask: each instance tells them what it finds out,
// and they tell it to those that ask them for slots. An asker is told all that
// is known before its first answer. Where instances send without asking, news
// is for everybody. Pure: the caller sends the messages.
class suspicion_audience {
public:
    // `self` is this entry instance's name. A peer that has not asked for
    // slots for `asker_kept` is no asker any more.
    suspicion_audience(std::string self, duration asker_kept);

    // Sets the known members and the registrars among them. In a full mesh
    // everybody tells everybody. Returns the linked peers that have become
    // registrars, which are to be told all that is known.
    std::set<std::string> follow(std::set<std::string> members,
                                 std::set<std::string> registrars,
                                 bool full_mesh, time_point now);
    void link_up(const std::string& peer) { linked_.insert(peer); }
    void link_down(const std::string& peer);
    // Whether what was on its way to the peer when one of its links closed has
    // to be told again.
    bool hears(const std::string& peer) const;
    // The peer asks for slots. Returns whether it is to be told all that is
    // known before it is answered.
    bool asked_for_slots(const std::string& peer, time_point now);
    // Until that moment instances send without asking an owner, as far as is
    // known here.
    void tell_everybody_until(time_point until);

    // The linked registrars.
    std::set<std::string> registrars() const;
    bool is_registrar(const std::string& peer) const {
        return registrars_.count(peer) != 0;
    }
    suspicion_reach reach(time_point now) const;
    // Recipients of what was found out here.
    suspicion_recipients of_own(time_point now);
    // Recipients of news that `origin` told, which has told those that it says.
    suspicion_recipients of_told(const std::string& origin,
                                 const suspicion_reach& told, time_point now);

private:
    void add_askers(std::set<std::string>& to, time_point now);
    bool is_linked(const std::string& peer) const {
        return linked_.count(peer) != 0;
    }
    std::set<std::string> unreached() const;
    suspicion_recipients to_all_but(const std::string& origin,
                                    time_point now) const;
    // Recipients of news for everybody that `origin` told.
    suspicion_recipients of_told_for_all(const std::string& origin,
                                         const suspicion_reach& told,
                                         time_point now) const;
    // Whether this registrar tells the peer, of those that were told.
    bool tells(const std::string& peer,
               const std::set<std::string>& told) const;

    std::string self_;
    duration asker_kept_;
    std::set<std::string> members_;
    std::set<std::string> registrars_;
    std::uint64_t registrars_digest_ = 0;
    bool full_mesh_ = true;
    std::set<std::string> linked_;
    std::map<std::string, time_point> asked_at_; // latest, by asker
    time_point for_all_until_{};
};

} // namespace waxwingvale::decision
