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

// The state of one backend server as entry instances exchange it.
struct belief_record {
    std::string backend_server;
    std::uint64_t incarnation = 0;
    // Incremented with every change between dead and not dead, so that all
    // instances agree on the latest change without comparing clocks.
    std::uint64_t version = 0;
    bool dead = false;
    bool leaving = false; // never reset within an incarnation
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
    // Records of an earlier incarnation, and observations that were made before
    // the one that is recorded.
    std::uint64_t outdated = 0;
    std::uint64_t over_limit = 0; // rejected because the table was full
};

// The state of each backend server as this instance believes it to be, from
// four signals (see belief_source), of which the one that arrives first takes
// effect. Once a record of an incarnation is known, records of earlier
// incarnations are rejected.
class belief_table {
public:
    // Holds at most `limit` backend servers; records of others are rejected.
    explicit belief_table(std::size_t limit) : limit_(limit) {}

    // Records what this entry instance observed itself or read in the
    // platform's list. Incarnation 0 means the incarnation that is known. The
    // platform's list lags and therefore cannot mark a dead backend server as
    // serving within its incarnation; an answer to real traffic or to a probe
    // can. Returns whether the table changed.
    bool observe(const backend_belief& observation);

    // Merges a record from a peer. Returns whether the table changed.
    bool merge(const belief_record& update);

    // Removes the backend servers that are not in `configured` and whose
    // records are at least `keep` old.
    void retain(const std::set<std::string>& configured, duration keep,
                time_point now);

    const belief_record* find(const std::string& backend_server) const;
    std::vector<belief_record> records() const; // sorted by name
    // Returns the records that changed since the last call.
    std::vector<belief_record> take_changes();
    std::vector<belief_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    const belief_counters& counters() const { return counters_; }

private:
    bool observe_new_incarnation(const backend_belief& observation);
    bool observe_same_incarnation(belief_record& known,
                                  const backend_belief& observation);
    bool set_dead(belief_record& known, bool dead,
                  const backend_belief& observation);
    bool has_room(const std::string& backend_server);
    void mark_changed(const std::string& backend_server);

    std::size_t limit_;
    std::map<std::string, belief_record> records_;
    std::set<std::string> changed_;
    belief_counters counters_;
};

} // namespace waxwingvale::membership
