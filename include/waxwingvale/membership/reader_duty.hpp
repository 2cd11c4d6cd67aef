#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// How stale an instance's knowledge of the platform may become, and how quickly
// other instances take over from a reader that failed.
struct reader_timing {
    // An instance whose knowledge is older than this reads the platform itself.
    // A drain that the platform has accepted must be obeyed everywhere after
    // 2 s; the remaining time is for reading and for passing updates on.
    duration stale_after = std::chrono::milliseconds(900);
    // Before taking over, each instance waits this much longer per rank, so
    // that one instance replaces a failed reader and not all of them.
    duration rank_delay = std::chrono::milliseconds(40);
    // Upper limit of the delay by rank.
    duration max_rank_delay = std::chrono::milliseconds(400);
    // An instance that took over continues for this long after it learns again
    // of reads by an instance of lower rank.
    duration takeover_hold = std::chrono::seconds(3);
    // An instance whose process was stopped takes over at this age at the
    // latest, however long it was stopped.
    duration max_forgiven_age = std::chrono::seconds(2);
    // An instance that has just started does not read for this long, the time
    // in which its peers tell it who they are and what they have read. Until
    // then each instance would have the lowest rank of all that it knows.
    duration startup_wait = std::chrono::milliseconds(500);
};

// Decides whether this instance reads the platform on behalf of all instances.
// Every read is paid for, and costs the platform resources, so only a few
// instances read; the others learn from their peers what was read. The class
// does no I/O, and the time is passed to it.
class reader_duty {
public:
    // `readers` is how many instances read while all is well; 0 means that
    // every instance reads for itself. An instance that expects no peers reads
    // at once.
    reader_duty(std::string self, unsigned readers, bool expects_peers,
                reader_timing timing, time_point now);

    void take_members(const std::vector<member>& members);
    // Records that `reader`, which may be this instance, knew the platform's
    // state of `age` ago. Returns whether that is newer than everything
    // recorded before.
    bool hear(const std::string& reader, duration age, time_point now);

    // Called when the process was stopped for that long: what it was told
    // meanwhile is not read yet, so that it takes over from no reader for that
    // alone.
    void forgive_silence(duration stopped, time_point now);

    // Sets for how long a newer configuration has been known of than the one in
    // force here. If peers do not send it in the time in which a silent reader
    // would be replaced, this instance reads the platform itself until it has
    // it: what its peers have told it comes from one that lacks it as well.
    void set_behind(std::optional<duration> behind_for) {
        behind_for_ = behind_for;
    }

    // An instance that is stopped again and again is not forgiven the times of
    // its stops: where others are stopped too, word that is passed on comes as
    // late as everybody who passes it on, and it reads the platform itself.
    void set_runs_late(bool late) { runs_late_ = late; }

    bool should_read(time_point now);
    // The latest result of should_read().
    bool reads() const { return reads_; }

    // The instances that read while all is well; empty if every instance reads
    // for itself.
    std::vector<std::string> readers() const;
    // The position of this instance in the order of readers, from 0.
    std::size_t rank() const { return rank_; }
    // The age of the newest known state of the platform.
    duration age(time_point now) const { return now - known_as_of_; }
    // The same; empty as long as nothing was heard of the platform.
    std::optional<duration> word_age(time_point now) const;
    const std::string& newest_reader() const { return newest_reader_; }

private:
    bool decide(time_point now);
    // How long this instance waits before it reads in another's place.
    duration takeover_delay() const;
    bool is_reader(const std::string& name) const;
    bool precedes_self(const std::string& name) const;

    std::string self_;
    unsigned readers_;
    reader_timing timing_;
    std::vector<std::string> order_; // of all instances that may read
    std::size_t rank_ = 0;           // of this instance in order_
    time_point startup_wait_ends_;
    time_point known_as_of_; // time of the newest known platform state
    // The same, later by the time for which the process was stopped since.
    time_point silent_since_;
    std::string newest_reader_;
    std::optional<time_point> word_as_of_; // of the newest word heard
    std::optional<duration> behind_for_;
    bool runs_late_ = false;
    bool reads_;
    std::optional<time_point> took_over_at_;
    // When this instance last learned of a read by an instance of lower rank.
    time_point lower_rank_read_at_{};
    time_point own_read_at_{};
};

// The order in which instances become readers. It takes one instance of each
// data centre in turn, within a turn those with more processor capacity first,
// and orders equal ones by a hash, so that all instances agree on it. Those
// that run late come after all others.
std::vector<std::string> reader_order(const std::vector<member>& members);

} // namespace waxwingvale::membership
