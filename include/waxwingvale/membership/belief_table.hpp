#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// Word of one backend server as the entry instances tell each other of it.
struct belief_record {
    std::string backend_server;
    std::uint64_t incarnation = 0;
    // Raised with every turn between dead and not dead, so that all agree on
    // the last of them without comparing clocks.
    std::uint64_t version = 0;
    bool dead = false;
    bool leaving = false; // never taken back within an incarnation
    belief_source source = belief_source::platform_list;
    std::string observer; // entry instance
    time_point since{};

    friend bool operator==(const belief_record& a, const belief_record& b) {
        return std::tie(a.backend_server, a.incarnation, a.version, a.dead,
                        a.leaving, a.source, a.observer, a.since) ==
               std::tie(b.backend_server, b.incarnation, b.version, b.dead,
                        b.leaving, b.source, b.observer, b.since);
    }
};

backend_belief to_belief(const belief_record& record);

struct belief_counters {
    std::uint64_t changes = 0;
    std::uint64_t outdated = 0; // of a former incarnation, or seen too early
    std::uint64_t over_limit = 0;
};

// What is believed of the backend servers: of four signals the earliest wins.
// Word of an incarnation fences all word of former ones.
class belief_table {
public:
    // Holds at most `limit` backend servers; word of more is not taken.
    explicit belief_table(std::size_t limit) : limit_(limit) {}

    // Takes what this entry instance saw, or read in the platform's list.
    // Incarnation 0 means the one that is known. The platform's list, which
    // lags, cannot bring a dead backend server back within its incarnation;
    // an answer on real traffic or to a probe can. Returns whether it changed
    // anything.
    bool observe(const backend_belief& seen);

    // Takes a peer's word.
    bool merge(const belief_record& word);

    // Forgets the backend servers that no configuration names any more and
    // whose word is older than `keep`.
    void retain(const std::set<std::string>& named, duration keep,
                time_point now);

    const belief_record* find(const std::string& backend_server) const;
    std::vector<belief_record> records() const; // sorted by name
    std::vector<belief_record> take_changes();
    std::vector<belief_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    const belief_counters& counters() const { return counters_; }

private:
    bool observe_new_life(const backend_belief& seen);
    bool observe_same_life(belief_record& known, const backend_belief& seen);
    bool turn(belief_record& known, bool dead, const backend_belief& seen);
    bool has_room(const std::string& backend_server);
    void changed(const std::string& backend_server);

    std::size_t limit_;
    std::map<std::string, belief_record> records_;
    std::set<std::string> changed_;
    belief_counters counters_;
};

} // namespace waxwingvale::membership
