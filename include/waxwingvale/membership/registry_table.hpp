#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/model/backend_incarnation.hpp>
#include <waxwingvale/model/evacuation.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// A backend server as it has registered itself with the platform.
struct registered_backend {
    std::string service;
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string data_centre;
    std::string version; // of its software
    unsigned slots = 1;
    bool leaving = false;
    duration cold_for{}; // slower than usual for so long, when it was written
    backend_incarnation incarnation = 0;

    friend bool operator==(const registered_backend& a,
                           const registered_backend& b) {
        return std::tie(a.service, a.host, a.port, a.data_centre, a.version,
                        a.slots, a.leaving, a.cold_for, a.incarnation) ==
               std::tie(b.service, b.host, b.port, b.data_centre, b.version,
                        b.slots, b.leaving, b.cold_for, b.incarnation);
    }
};

// What a record of the registry is about.
enum class registry_subject {
    backend_server,
    evacuation // of a data centre: nothing may be sent to its servers
};

// What the platform last said of one of them, as the entry instances tell
// each other of it. Of an evacuation the entry has the data centre only.
struct registry_record {
    std::string name;           // unique over both subjects
    std::uint64_t revision = 0; // of the platform, at the last change
    bool present = true;        // false: its entry is gone
    registered_backend entry;
    registry_subject subject = registry_subject::backend_server;
    time_point taken_at{}; // into this instance's table; not compared

    friend bool operator==(const registry_record& a, const registry_record& b) {
        return std::tie(a.name, a.revision, a.present, a.entry, a.subject) ==
               std::tie(b.name, b.revision, b.present, b.entry, b.subject);
    }
};

// The record that orders the evacuation of a data centre.
registry_record evacuation_record(const std::string& data_centre,
                                  std::uint64_t revision);

// The backend servers that have registered themselves, and the evacuations that
// are ordered. The platform's revision orders all word of one of them, whoever
// brings it and however late.
class registry_table {
public:
    // Holds at most `limit` records; word of more is not taken.
    explicit registry_table(std::size_t limit) : limit_(limit) {}

    // Takes the word if it is newer. Returns whether it changed anything.
    bool merge(const registry_record& word, time_point now);

    // Takes the whole list that the platform had at a revision: what it does
    // not name is gone.
    void take_list(const std::vector<registry_record>& list,
                   std::uint64_t revision, time_point now);
    // Takes a change that the platform told.
    void take_change(const registry_record& change, time_point now);

    // The platform does not answer this instance any more. `last_answer` is the
    // last of which it knows, to whomever.
    void platform_lost(time_point last_answer);
    // It answered somebody else. That ends an absence; and there was none if
    // such answers followed each other all the while.
    void platform_answered_other(time_point when);
    // The platform was away until now. In an absence of some length entries
    // of living servers lapse. They come back within a while; until
    // then what is missing in a list, or said to be gone, stays. Without this
    // an outage of the platform would take every backend server from callers
    // for that while. Only time in which the platform answers counts, up to a
    // bound, and a further return does not prolong what is held already.
    void platform_returned(time_point now);
    // Carries out removals that were held and were not taken back, and forgets
    // those of long ago.
    // Returns whether anything has changed.
    bool tick(time_point now);

    // The evacuations in force, sorted by data centre, each since this
    // instance has known of it.
    std::vector<evacuation> evacuations() const;
    // Those that are there, sorted by name.
    const std::map<std::string, registry_record>& records() const {
        return records_;
    }
    std::vector<registry_record> take_changes();
    std::vector<registry_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    // One number over all that are there.
    std::uint64_t fingerprint() const { return fingerprint_; }
    // Rises with every change.
    std::uint64_t version() const { return version_; }

private:
    struct removal {
        std::uint64_t revision = 0;
        time_point since{};
    };
    // `until` is counted in time that the platform has answered.
    struct held_removal {
        std::uint64_t revision = 0;
        duration until{};
        time_point since{};
    };

    // How long the platform has answered since it was first lost.
    duration answered(time_point now) const;
    void remove(const std::string& name, std::uint64_t revision,
                time_point now);
    void changed(const std::string& name);
    bool is_evacuation(const std::string& name) const;

    std::size_t limit_;
    std::map<std::string, registry_record> records_;
    std::map<std::string, removal> removed_;
    std::map<std::string, held_removal> held_;      // not yet carried out
    std::map<std::string, evacuation> evacuations_; // by record name
    duration answered_before_{};
    std::optional<time_point> answers_since_;
    time_point lost_{};
    duration hold_until_{}; // of removals that are said from now on
    // When others were answered again after an absence, until lapsed entries
    // are back.
    std::optional<time_point> returned_to_others_;
    std::set<std::string> changed_;
    std::uint64_t fingerprint_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace waxwingvale::membership
