#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// One process of a backend server: its name and incarnation.
struct backend_process {
    std::string backend_server;
    std::uint64_t incarnation = 0;

    friend bool operator==(const backend_process& a, const backend_process& b) {
        return std::tie(a.backend_server, a.incarnation) ==
               std::tie(b.backend_server, b.incarnation);
    }
};

// What a run that was lost counts for. Later values override earlier ones: an
// answer that comes afterwards shows that whoever took the process for ended
// was wrong.
enum class run_verdict {
    open,   // nothing has shown yet
    ended,  // its process has ended
    excused // the process lives, or a copy sent later got its answer
};

// The connection of a request to a process broke before its answer. Who saw it
// and a number of theirs name the event: told times are too inexact to know one
// event from the next.
struct lost_run {
    backend_process process;
    std::string seen_by; // the entry instance
    std::uint64_t number = 0;
    bool alone = false; // the process ran nothing else
    run_verdict verdict = run_verdict::open;
    time_point at{};
    // Which of the copies was lost, where the record is of copies that differ;
    // 0: the record is of copies that are all the same.
    std::uint64_t variant = 0;

    bool is_same_event(const lost_run& other) const {
        return std::tie(process.backend_server, process.incarnation, seen_by,
                        number) == std::tie(other.process.backend_server,
                                            other.process.incarnation,
                                            other.seen_by, other.number);
    }
};

// The lost runs of all copies of one request, and what they prove of it. Two
// instances that have heard of the same events hold the same record, whatever
// the order.
class crash_record {
public:
    // Adds a run, or what is new of one that is known. Returns whether anything
    // was.
    bool add(const lost_run& run);
    // The process, and so any of its name before it, has ended: runs lost there
    // were lost by an end.
    bool settle_ended(const backend_process& process);
    // Processes of that name before this one have ended.
    bool settle_followed(const backend_process& by);
    // The process answered what was sent to it at that moment: runs lost before
    // were not lost by its end.
    bool settle_survived(const backend_process& process, time_point sent);
    // What that instance saw since then shows nothing of servers. A run that
    // was lost while alone stays open: its process may have ended all the same,
    // and shows soon whether it has.
    bool excuse_seen_by(const std::string& instance, time_point since);
    // A copy that was sent at that moment got its answer: what was lost before
    // says nothing of the request.
    bool clear(time_point sent);

    // Whether the request ends the processes that run it: it was in flight on
    // two that ended, on one of them alone. Two ends beside other requests
    // prove nothing: a data centre that fails takes several servers, and
    // popular requests were in flight on each. Copies that differ prove it
    // together only if two that differ did: else the difference may be what
    // ends processes, and the other copies are harmless.
    bool proves_crash() const;
    // Whether a run was lost at a process that may have ended.
    bool is_suspect() const;
    // The latest run that was lost while alone and whose process's fate is
    // open, or null.
    const lost_run* undecided_trial() const;

    // The latest run that was lost at a process that may have ended, or null.
    const lost_run* latest_lost() const;

    std::size_t ended_processes() const;
    bool ended_whatever_varies() const;
    const std::vector<lost_run>& runs() const { return runs_; }

private:
    template <typename Matches>
    bool excuse(Matches matches);
    template <typename Matches>
    bool settle(const std::string& backend_server, Matches matches);

    std::vector<lost_run> runs_; // the longest known first
    // When the copy was sent whose answer cleared the request here last.
    std::optional<time_point> cleared_;
};

} // namespace waxwingvale::decision
