#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/membership/publication_stamp.hpp>
#include <waxwingvale/model/backend_incarnation.hpp>
#include <waxwingvale/model/evacuation.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// A backend server's registration with the platform.
struct registered_backend {
    std::string service;
    std::string host; // IP address
    std::uint16_t port = 0;
    std::string data_centre;
    std::string version; // of its software
    unsigned slots = 1;
    bool leaving = false;
    // How much longer the server was expected to be slower than usual, at the
    // time of the registration.
    duration cold_for{};
    backend_incarnation incarnation = 0;

    friend bool operator==(const registered_backend& a,
                           const registered_backend& b) {
        return std::tie(a.service, a.host, a.port, a.data_centre, a.version,
                        a.slots, a.leaving, a.cold_for, a.incarnation) ==
               std::tie(b.service, b.host, b.port, b.data_centre, b.version,
                        b.slots, b.leaving, b.cold_for, b.incarnation);
    }
};

// What a registry record describes.
enum class registry_subject {
    backend_server,
    evacuation // of a data centre: its servers must not receive requests
};

// The latest known state of a registration or an evacuation on the platform, as
// entry instances exchange it. For an evacuation only the data centre of
// `entry` is set.
struct registry_record {
    std::string name; // unique over both subjects
    publication_stamp stamp;
    bool present = true; // false: removed from the platform
    registered_backend entry;
    registry_subject subject = registry_subject::backend_server;
    // When this instance's table received the record; not compared.
    time_point received_at{};

    friend bool operator==(const registry_record& a, const registry_record& b) {
        return std::tie(a.name, a.stamp, a.present, a.entry, a.subject) ==
               std::tie(b.name, b.stamp, b.present, b.entry, b.subject);
    }
};

// The record that orders the evacuation of a data centre.
registry_record make_evacuation_record(const std::string& data_centre,
                                       const publication_stamp& stamp);

// The registered backend servers and the evacuations in force. Records of one
// name are ordered by is_newer(), whichever peer sends them and however late
// they arrive.
class registry_table {
public:
    // Holds at most `limit` records, and as many removals; further backend
    // servers are rejected, and removals of unknown ones not remembered.
    // Evacuations are accepted regardless of the limit.
    explicit registry_table(std::size_t limit) : limit_(limit) {}

    // The services that are routed to. In a full table their backend servers
    // take the place of others: anybody may register servers of services that
    // nobody uses.
    void set_services(std::set<std::string> services);

    // Applies the record if it is newer. Returns whether the table changed.
    bool merge(const registry_record& update, time_point now);

    // Applies the platform's complete list as of a revision and an era: records
    // that are not in the list are removed. What a later era of the platform
    // lacks, or shows as it was before, may be lost there and be written again
    // in a moment; it is held back like removals after an outage.
    void apply_list(const std::vector<registry_record>& list,
                    const publication_stamp& as_of, time_point now);
    // The same for a list that comes in parts: what a part has is in force at
    // once, what the list lacks is removed at its end. A list that is begun
    // anew takes the place of the one before.
    void begin_list(time_point now);
    void add_listed(const registry_record& record, time_point now);
    void end_list(const publication_stamp& as_of, time_point now);
    // Applies a single change reported by the platform.
    void apply_change(const registry_record& change, time_point now);

    // Records that the platform stopped answering this instance. `last_answer`
    // is the time of its last known answer to any instance.
    void mark_platform_unreachable(time_point last_answer);
    // Records that the platform answered another instance. This ends an outage.
    // If such answers followed each other without a long gap, there was no
    // outage.
    void platform_answered_other(time_point when);
    // Records that the platform answers this instance again. During a long
    // outage the registrations of live servers expire, and these servers
    // register again soon after it. Until then removals, from a list or a
    // single change, are held back. Otherwise an outage of the platform would
    // make every backend server unavailable to callers for that time. Only time
    // in which the platform answers counts towards the hold, up to a limit, and
    // a further outage does not prolong holds that are already running.
    void mark_platform_reachable(time_point now);
    // Applies held changes that are due and were not revoked, and forgets old
    // removals. Returns whether the table changed.
    bool tick(time_point now);

    // The evacuations in force, sorted by data centre, each with the time since
    // which this instance has known of it.
    std::vector<evacuation> evacuations() const;
    // The records that are present, sorted by name.
    const std::map<std::string, registry_record>& records() const {
        return records_;
    }
    // Returns the records that changed since the last call, removals included.
    std::vector<registry_record> take_changes();
    std::vector<registry_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    // A hash over all records that are present.
    std::uint64_t fingerprint() const { return fingerprint_; }
    // Incremented with every change.
    std::uint64_t version() const { return version_; }

private:
    struct removal {
        publication_stamp stamp;
        time_point since{};
    };
    // `until` is a value of answering_time().
    struct held_change {
        registry_record change;
        duration until{};
        time_point since{};
    };

    // The total time for which the platform has answered this instance.
    duration answering_time(time_point now) const;
    // What is known of the name, if anything is.
    std::optional<publication_state> known_state(const std::string& name) const;
    void hold(const registry_record& change, duration until, time_point now);
    void remove(const std::string& name, publication_stamp stamp,
                time_point now);
    std::vector<registry_record>
    missing_from_list(const publication_stamp& as_of) const;
    void mark_changed(const std::string& name);
    bool is_used(const registry_record& record) const;
    // Makes room for a record. Returns whether there is room.
    bool make_room_for(const registry_record& record);
    bool is_evacuation(const std::string& name) const;

    std::size_t limit_;
    std::set<std::string> services_;
    std::map<std::string, registry_record> records_;
    std::map<std::string, removal> removed_;
    std::set<std::string> listed_; // of the records, those in the list so far
    std::map<std::string, held_change> held_;       // not yet applied
    std::map<std::string, evacuation> evacuations_; // by record name
    duration earlier_answering_time_{};             // before answering_since_
    std::optional<time_point> answering_since_;
    time_point last_answer_at_{};
    // The value of answering_time() until which new removals are held.
    duration hold_until_{};
    // When the platform answered an instance again after an outage; reset when
    // expired registrations have had time to be renewed.
    std::optional<time_point> outage_ended_at_;
    std::set<std::string> changed_;
    std::uint64_t fingerprint_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace waxwingvale::membership
