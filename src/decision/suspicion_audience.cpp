#include <waxwingvale/decision/suspicion_audience.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::decision {

namespace {

using names = std::set<std::string>;

std::uint64_t digest_of(const names& of) {
    std::uint64_t digest = 1;
    for (const auto& name : of) {
        digest = stable_hash(name, digest);
    }
    return digest;
}

// Of the registrars that hear of news for everybody, so many tell each
// instance.
constexpr std::size_t tellers = 2;

names difference(const names& from, const names& without) {
    names left;
    std::set_difference(from.begin(), from.end(), without.begin(),
                        without.end(), std::inserter(left, left.end()));
    return left;
}

names intersection(const names& a, const names& b) {
    names both;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                          std::inserter(both, both.end()));
    return both;
}

} // namespace

suspicion_audience::suspicion_audience(std::string self, duration asker_kept)
    : self_(std::move(self)), asker_kept_(asker_kept) {}

names suspicion_audience::follow(names members, names registrars,
                                 bool full_mesh, time_point now) {
    const auto came = difference(registrars, registrars_);
    // Those that are none any more may go on sending, and have to hear what
    // becomes of what they know.
    for (const auto& former : difference(registrars_, registrars)) {
        if (is_linked(former)) {
            asked_at_[former] = now;
        }
    }
    members_ = std::move(members);
    registrars_ = std::move(registrars);
    registrars_digest_ = digest_of(registrars_);
    full_mesh_ = full_mesh;
    return intersection(came, linked_);
}

void suspicion_audience::link_down(const std::string& peer) {
    linked_.erase(peer);
    asked_at_.erase(peer);
}

bool suspicion_audience::hears(const std::string& peer) const {
    return full_mesh_ || is_registrar(peer) || asked_at_.count(peer) != 0;
}

bool suspicion_audience::asked_for_slots(const std::string& peer,
                                         time_point now) {
    const auto known = asked_at_.find(peer);
    const bool is_new =
        known == asked_at_.end() || now - known->second >= asker_kept_;
    asked_at_[peer] = now;
    return is_new && !full_mesh_;
}

void suspicion_audience::tell_everybody_until(time_point until) {
    for_all_until_ = std::max(for_all_until_, until);
}

names suspicion_audience::registrars() const {
    return intersection(registrars_, linked_);
}

names suspicion_audience::unreached() const {
    auto missing = difference(registrars_, linked_);
    missing.erase(self_);
    return missing;
}

suspicion_reach suspicion_audience::reach(time_point now) const {
    if (full_mesh_) {
        return {{}, registrars_digest_, false};
    }
    return {unreached(), registrars_digest_, now < for_all_until_};
}

void suspicion_audience::add_askers(names& to, time_point now) {
    for (auto at = asked_at_.begin(); at != asked_at_.end();) {
        if (now - at->second >= asker_kept_) {
            at = asked_at_.erase(at);
            continue;
        }
        to.insert(at->first);
        ++at;
    }
}

suspicion_recipients suspicion_audience::to_all_but(const std::string& origin,
                                                    time_point now) const {
    suspicion_recipients to{linked_, reach(now)};
    to.peers.erase(origin);
    return to;
}

suspicion_recipients suspicion_audience::of_own(time_point now) {
    if (full_mesh_ || now < for_all_until_) {
        return to_all_but({}, now);
    }
    suspicion_recipients to{registrars(), reach(now)};
    add_askers(to.peers, now);
    // Who is no known member yet may own slots before it is known.
    const auto newcomers = difference(linked_, members_);
    to.peers.insert(newcomers.begin(), newcomers.end());
    return to;
}

// Each registrar has links with all instances. What one of them tells needs to
// be passed on by no other instance, and what all were told by each of them to
// a part of the instances only. In a fleet of a hundred every instance would
// else tell everybody of all that was lost anywhere.
suspicion_recipients
suspicion_audience::of_told_for_all(const std::string& origin,
                                    const suspicion_reach& told,
                                    time_point now) const {
    suspicion_recipients to{{}, reach(now)};
    to.reach.for_all = true;
    const bool same_registrars = told.registrars == registrars_digest_;
    const bool from_registrar = is_registrar(origin);
    if (!same_registrars || (!from_registrar && !is_registrar(self_))) {
        to.peers = linked_;
    } else if (is_registrar(self_) && !from_registrar) {
        const auto reached = difference(registrars_, told.unreached);
        std::copy_if(linked_.begin(), linked_.end(),
                     std::inserter(to.peers, to.peers.end()),
                     [&](const auto& peer) { return tells(peer, reached); });
    }
    const auto missed = intersection(told.unreached, linked_);
    to.peers.insert(missed.begin(), missed.end());
    to.peers.erase(origin);
    return to;
}

bool suspicion_audience::tells(const std::string& peer,
                               const names& told) const {
    if (told.count(peer) != 0) {
        return false;
    }
    const auto place_of = [&](const std::string& registrar) {
        return std::make_pair(stable_hash(registrar, stable_hash(peer)),
                              registrar);
    };
    const auto own = place_of(self_);
    const auto before =
        std::count_if(told.begin(), told.end(), [&](const auto& registrar) {
            return place_of(registrar) < own;
        });
    return static_cast<std::size_t>(before) < tellers;
}

suspicion_recipients suspicion_audience::of_told(const std::string& origin,
                                                 const suspicion_reach& told,
                                                 time_point now) {
    if (full_mesh_) {
        // Where all are linked, all hear of it from the one that found it out.
        const bool all_linked = linked_.size() + 1 >= members_.size();
        return all_linked ? suspicion_recipients{} : to_all_but(origin, now);
    }
    if (told.for_all) {
        return of_told_for_all(origin, told, now);
    }
    suspicion_recipients to{{}, reach(now)};
    add_askers(to.peers, now);
    const bool same_registrars = told.registrars == registrars_digest_;
    const auto reached = difference(registrars_, told.unreached);
    if (same_registrars) {
        to.peers = difference(to.peers, reached);
    } else {
        const auto mine = registrars();
        to.peers.insert(mine.begin(), mine.end());
    }
    const auto missed = intersection(told.unreached, linked_);
    to.peers.insert(missed.begin(), missed.end());
    to.peers.erase(origin);
    return to;
}

} // namespace waxwingvale::decision
