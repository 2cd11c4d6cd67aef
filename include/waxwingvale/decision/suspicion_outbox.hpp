#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/suspicion_audience.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// What is to be told of the same requests to the same peers.
struct suspicion_batch {
    std::set<std::string> peers;
    std::set<request_fingerprint> fingerprints;
    bool for_all = false; // to be passed on over all links
};

// Gathers news of requests under suspicion, so that those that come in quick
// succession share a message. Load: hundreds of answers are lost in a second,
// and an owner of slots has a hundred peers to tell of each. With a message for
// each of them it does nothing else, those that wait for it take it for gone
// and tell everybody, and the fleet comes to a stop. Pure: the caller sends
// what it takes.
class suspicion_outbox {
public:
    // News waits so long for more; zero: none waits.
    void set_pause(duration pause) { pause_ = pause; }

    // Whether messages wait for each other at all.
    bool gathers() const { return pause_ > duration::zero(); }

    void add(const std::vector<request_fingerprint>& of,
             const suspicion_recipients& to, time_point now);
    // Drops what waits of a request of which nothing is left to tell.
    void forget(request_fingerprint fingerprint);
    // Drops what waits for a peer that is told all otherwise, or has no link.
    void forget(const std::string& peer);

    bool empty() const { return waiting_.empty(); }
    // When what waits is to be sent.
    time_point due_at() const { return due_at_; }
    // All that waits. Peers that are to be told the same share a batch.
    std::vector<suspicion_batch> take();
    // What waits for that peer, whenever it is due.
    std::vector<suspicion_batch> take_for(const std::string& peer);

private:
    // What waits for a peer: whether it is for all, by the request.
    using peer_news = std::map<request_fingerprint, bool>;

    duration pause_{};
    time_point due_at_{};
    std::map<std::string, peer_news> waiting_;
};

} // namespace waxwingvale::decision
