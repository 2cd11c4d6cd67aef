#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// A request fingerprint in quarantine: all entry instances refuse requests that
// have it.
struct crash_verdict {
    std::uint64_t fingerprint = 0;
    std::string observer; // entry instance
    time_point since{};

    friend bool operator==(const crash_verdict& a, const crash_verdict& b) {
        return std::tie(a.fingerprint, a.observer, a.since) ==
               std::tie(b.fingerprint, b.observer, b.since);
    }
};

// The death of a backend server while a request with this fingerprint was in
// flight there.
struct death_record {
    std::uint64_t fingerprint = 0;
    std::string backend_server;
    std::uint64_t incarnation = 0; // of the backend server
    bool alone = false;            // no other request was in flight there
    time_point since{};

    friend bool operator==(const death_record& a, const death_record& b) {
        return std::tie(a.fingerprint, a.backend_server, a.incarnation, a.alone,
                        a.since) == std::tie(b.fingerprint, b.backend_server,
                                             b.incarnation, b.alone, b.since);
    }
};

// Capacity and lifetime of the table's records.
struct crash_verdict_limits {
    std::size_t fingerprints = 4096;
    std::size_t deaths = 4096;
    duration lifetime = std::chrono::hours(1);
};

struct crash_verdict_counters {
    std::uint64_t added = 0;
    std::uint64_t evicted = 0; // oldest records, removed from a full table
    std::uint64_t expired = 0;
};

// Fingerprints of requests that crash the backend servers that run them. A
// caller whose request was lost sends it again, perhaps to another entry
// instance; therefore all instances count deaths together. A fingerprint is
// quarantined after two deaths of different backend servers or incarnations, if
// in at least one of them no other request was in flight. A request that was
// merely in flight during two crashes is not quarantined.
class crash_verdict_table {
public:
    explicit crash_verdict_table(crash_verdict_limits limits)
        : limits_(limits) {}

    // Each function returns whether the table changed. A verdict puts a
    // fingerprint into quarantine.
    bool add_verdict(const crash_verdict& verdict);
    bool add_death(const death_record& death);
    bool expire(time_point now);

    bool contains(std::uint64_t fingerprint) const {
        return verdicts_.count(fingerprint) > 0;
    }
    std::vector<std::uint64_t> fingerprints() const; // sorted
    std::vector<crash_verdict> verdicts() const;
    std::vector<death_record> deaths() const;
    std::vector<crash_verdict> take_new_verdicts();
    std::vector<death_record> take_new_deaths();
    // A hash over all verdicts, to compare two tables.
    std::uint64_t digest() const;
    const crash_verdict_counters& counters() const { return counters_; }

private:
    void quarantine_if_confirmed(const death_record& latest);
    void evict_oldest_verdict();

    crash_verdict_limits limits_;
    std::map<std::uint64_t, crash_verdict> verdicts_;
    std::map<std::uint64_t, std::vector<death_record>> deaths_;
    std::size_t death_count_ = 0;
    std::vector<crash_verdict> new_verdicts_;
    std::vector<death_record> new_deaths_;
    crash_verdict_counters counters_;
};

} // namespace waxwingvale::membership
