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

// A request's fingerprint that is refused everywhere.
struct quarantine_record {
    std::uint64_t fingerprint = 0;
    std::string observer; // entry instance
    time_point since{};

    friend bool operator==(const quarantine_record& a,
                           const quarantine_record& b) {
        return std::tie(a.fingerprint, a.observer, a.since) ==
               std::tie(b.fingerprint, b.observer, b.since);
    }
};

// A backend server died with the request in flight.
struct death_record {
    std::uint64_t fingerprint = 0;
    std::string backend_server;
    std::uint64_t incarnation = 0; // of the backend server
    bool alone = false;            // nothing else was in flight there
    time_point since{};

    friend bool operator==(const death_record& a, const death_record& b) {
        return std::tie(a.fingerprint, a.backend_server, a.incarnation, a.alone,
                        a.since) == std::tie(b.fingerprint, b.backend_server,
                                             b.incarnation, b.alone, b.since);
    }
};

// How much is remembered, and for how long.
struct quarantine_limits {
    std::size_t fingerprints = 4096;
    std::size_t deaths = 4096;
    duration lifetime = std::chrono::hours(1);
};

struct quarantine_counters {
    std::uint64_t added = 0;
    std::uint64_t evicted = 0; // the oldest, when the limit was reached
    std::uint64_t expired = 0;
};

// Requests that crash the backend servers that run them. A caller whose
// request was lost sends it again, perhaps to another entry instance; deaths
// are therefore counted together. Two deaths of different backend servers or
// incarnations, at least one of which nothing else can have caused, put the
// fingerprint into quarantine: a request that only happened to be there twice
// is not condemned.
class quarantine_table {
public:
    explicit quarantine_table(quarantine_limits limits) : limits_(limits) {}

    // Each returns whether anything changed.
    bool add_verdict(const quarantine_record& verdict);
    bool add_death(const death_record& death);
    bool expire(time_point now);

    bool contains(std::uint64_t fingerprint) const {
        return verdicts_.count(fingerprint) > 0;
    }
    std::vector<std::uint64_t> fingerprints() const; // sorted
    std::vector<quarantine_record> verdicts() const;
    std::vector<death_record> deaths() const;
    std::vector<quarantine_record> take_new_verdicts();
    std::vector<death_record> take_new_deaths();
    // One number over all verdicts, to compare two tables by.
    std::uint64_t digest() const;
    const quarantine_counters& counters() const { return counters_; }

private:
    void convict_if_proven(const death_record& latest);
    void evict_oldest_verdict();

    quarantine_limits limits_;
    std::map<std::uint64_t, quarantine_record> verdicts_;
    std::map<std::uint64_t, std::vector<death_record>> deaths_;
    std::size_t death_count_ = 0;
    std::vector<quarantine_record> new_verdicts_;
    std::vector<death_record> new_deaths_;
    quarantine_counters counters_;
};

} // namespace waxwingvale::membership
