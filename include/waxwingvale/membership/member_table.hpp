#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/membership/digest.hpp>
#include <waxwingvale/membership/member_record.hpp>
#include <waxwingvale/membership/platform_list.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// Time limits for failure detection.
struct member_timing {
    // A suspect member counts as gone after this time unless it refutes the
    // suspicion.
    duration suspicion_limit = std::chrono::seconds(3);
    // A member known only from the platform's list counts as gone after this
    // time without a message that confirms it.
    duration unconfirmed_limit = std::chrono::seconds(10);
    // A gone member is remembered for this long, so that late updates from
    // before its end do not restore it, and so that instances connect to it
    // again when a long network partition ends.
    duration forget_after = std::chrono::hours(3);
    // Within this time after its start a process that learns of a later
    // incarnation under its own name raises its own above that one. After it
    // the process considers itself replaced.
    duration startup_period = std::chrono::seconds(10);
};

// Decides which of two records of one member is the later one.
class member_precedence {
public:
    virtual ~member_precedence() = default;
    virtual bool supersedes(const member_record& candidate,
                            const member_record& known) const = 0;
};

// The rule in production: the later incarnation wins, then the larger assertion
// number (which only the member itself increments), then the worse liveness.
class latest_assertion_wins : public member_precedence {
public:
    bool supersedes(const member_record& candidate,
                    const member_record& known) const override;
};

// The members (entry instances) that one instance knows of, from itself, its
// peers and the platform's list. That list may lag, be empty or be outdated;
// therefore it adds members but never removes any.
class member_table {
public:
    member_table(member_record self, member_timing timing, time_point now);
    member_table(member_record self, member_timing timing, time_point now,
                 std::shared_ptr<const member_precedence> precedence);

    // Merges a record from a peer. A record that reports this member itself as
    // suspect or gone is refuted: this member's assertion number is raised
    // above it. Returns whether the table changed.
    bool merge(const member_record& update, time_point now);

    // Marks a member with which this process lost contact as suspect, unless it
    // is already suspect or gone. Returns whether the table changed.
    bool accuse(const std::string& name, time_point now);

    // Adds the members of the platform's list and applies its leaving marks.
    // Returns whether the table changed.
    bool apply_platform_list(const std::vector<listed_member>& list,
                             time_point now);

    // Marks members whose suspicion limit has passed as gone and removes those
    // that have been gone for long. Returns whether the table changed.
    bool tick(time_point now);

    // Called when the process was suspended for that long and could not receive
    // refutations meanwhile: the time does not count towards the suspicion
    // limit. Begun anew, the limit would never pass in a process that is
    // suspended again and again.
    void forgive_suspicions(duration stopped, time_point now);

    // Changes to this member's own record. Its incarnation is 0, and the record
    // is not sent to peers, until its entry process has proposed an
    // incarnation. A proposal that is not above every incarnation that peers
    // reported for this name is raised, unless it continues the reported one.
    bool start_life(std::uint64_t proposed);
    bool leave();                           // marks a graceful shutdown
    bool set_serving(bool serving);         // whether the entry process answers
    bool set_partitioned(bool partitioned); // reaches no backend server
    bool set_runs_late(bool late);          // again and again
    // Whether another process with this name started later, so that this one
    // was replaced and owns nothing.
    bool replaced() const { return replaced_; }

    const member_record& self() const { return entries_.at(self_name_).record; }
    const member_record* find(const std::string& name) const;
    // All known members, for views; sorted by id.
    std::vector<member> members() const;
    // Incremented whenever the result of members() may have changed.
    std::uint64_t version() const { return version_; }
    // The number of members that are not gone, this one included.
    std::size_t present() const;
    // Returns the records that changed since the last call, to send to peers.
    std::vector<member_record> take_changes();
    // Records with a known incarnation whose names fall into the buckets.
    std::vector<member_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    std::uint64_t refutations() const { return refutations_; }

private:
    struct entry {
        member_record record;
        time_point suspected_at{};
        time_point gone_at{};
        time_point first_listed_at{};
        bool listed = false;
        // The incarnation that the platform's list marked as leaving. The mark
        // does not apply to later incarnations.
        std::optional<std::uint64_t> listed_leaving_incarnation;
    };

    bool merge_self(const member_record& update, time_point now);
    bool handle_other_incarnation(const member_record& update, time_point now);
    bool refute(const member_record& update);
    bool adopt(entry& known, const member_record& update, time_point now);
    void set_liveness(entry& known, liveness life, time_point now);
    void retire_previous_at_address(const member_record& update,
                                    time_point now);
    bool apply_listed(const listed_member& listed, time_point now);
    bool apply_listed_leaving(entry& known);
    entry& self_entry() { return entries_.at(self_name_); }
    void assert_self();
    void mark_changed(const std::string& name);

    std::string self_name_;
    member_timing timing_;
    time_point started_;
    std::shared_ptr<const member_precedence> precedence_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> changed_;
    bool replaced_ = false;
    bool list_seen_ = false;
    // The latest incarnation of this name that peers reported.
    member_record self_from_peers_;
    std::uint64_t refutations_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace waxwingvale::membership
