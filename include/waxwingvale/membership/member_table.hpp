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

// How long silence may last before it has consequences.
struct member_timing {
    // From the first suspicion until the member counts as gone, time in which
    // it can refute.
    duration suspicion_limit = std::chrono::seconds(3);
    // A member that was only read of in the platform's list is believed in for
    // this long without having been heard.
    duration unheard_limit = std::chrono::seconds(10);
    // A gone member is remembered for this long, so that late word from
    // before its end does not bring it back, and so that it is dialed again
    // when a long partition ends.
    duration forget_after = std::chrono::hours(3);
    // After its start a process may still raise its incarnation above one
    // heard for its own name; later it stands down instead.
    duration settling = std::chrono::seconds(10);
};

// Decides which of two records of one member and incarnation is the later.
class member_precedence {
public:
    virtual ~member_precedence() = default;
    virtual bool supersedes(const member_record& candidate,
                            const member_record& known) const = 0;
};

// The rule in use: the later incarnation, then the larger assertion, which
// only the member itself raises, then the worse word.
class latest_assertion_wins : public member_precedence {
public:
    bool supersedes(const member_record& candidate,
                    const member_record& known) const override;
};

// Who the entry instances are, as one of them knows it: its own word, its
// peers', and the platform's list, which may lag, be empty or be old and
// therefore adds but never removes.
class member_table {
public:
    member_table(member_record self, member_timing timing, time_point now);
    member_table(member_record self, member_timing timing, time_point now,
                 std::shared_ptr<const member_precedence> precedence);

    // Takes a peer's word. Word against this member itself is refuted: its
    // record is asserted anew. Returns whether anything changed.
    bool merge(const member_record& word, time_point now);

    // This process has lost the member: it becomes suspect, unless worse is
    // known.
    bool accuse(const std::string& name, time_point now);

    bool take_platform_list(const std::vector<listed_member>& list,
                            time_point now);

    // Ends suspicions that have run out and forgets those long gone.
    bool tick(time_point now);

    // The process was stopped and could not hear refutations: suspicions run
    // anew from here.
    void restart_suspicions(time_point now);

    // This member's own changes. Its incarnation is 0, and nobody is told of
    // it, until its entry process has named one. A proposal that is not above
    // all that was heard for the own name is raised, unless it goes on with
    // the life that was heard.
    bool start_life(std::uint64_t proposed);
    bool leave();                   // stops in an orderly way
    bool set_serving(bool serving); // entry answers or does not
    // Another process with this name started later: this one has been
    // replaced and owns nothing.
    bool replaced() const { return replaced_; }

    const member_record& self() const { return entries_.at(self_).record; }
    const member_record* find(const std::string& name) const;
    // All that are known, for views; sorted by id.
    std::vector<member> members() const;
    // Rises whenever anything that members() tells may have changed.
    std::uint64_t version() const { return version_; }
    // How many are not gone, this one included.
    std::size_t present() const;
    // Records that were changed since the last call, for passing on.
    std::vector<member_record> take_changes();
    // Records heard of by word, whose name falls into the bucket.
    std::vector<member_record> in_buckets(const bucket_set& buckets) const;
    digest_buckets digest() const;
    std::uint64_t refutations() const { return refutations_; }

private:
    struct entry {
        member_record record;
        time_point suspected{};
        time_point gone{};
        time_point listed_first{};
        bool listed = false;
        // The list called this incarnation leaving; a later one is not meant.
        std::optional<std::uint64_t> listed_leaving;
    };

    bool merge_self(const member_record& word, time_point now);
    bool hear_other_life(const member_record& word, time_point now);
    bool refute(const member_record& word);
    bool adopt(entry& known, const member_record& word, time_point now);
    void set_life(entry& known, liveness life, time_point now);
    void retire_former_at(const member_record& word, time_point now);
    bool take_listed(const listed_member& listed, time_point now);
    bool apply_listed_leaving(entry& known);
    entry& self_entry() { return entries_.at(self_); }
    void assert_self();
    void mark_changed(const std::string& name);

    std::string self_;
    member_timing timing_;
    time_point started_;
    std::shared_ptr<const member_precedence> precedence_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> changed_;
    bool replaced_ = false;
    bool list_seen_ = false;
    member_record heard_self_; // the latest word of this name from others
    std::uint64_t refutations_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace waxwingvale::membership
