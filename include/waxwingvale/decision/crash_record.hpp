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

// What became of a process whose connection broke under a request. Later values
// override earlier ones: an answer that the process gave afterwards shows that
// whoever took it for ended was wrong.
enum class process_fate {
    open, // nothing has shown yet
    ended,
    survived
};

// The connection of a request to a process broke before its answer.
struct lost_run {
    backend_process process;
    bool alone = false; // the process ran nothing else
    process_fate fate = process_fate::open;
    // When it was lost; of a process that survived, the latest moment at which
    // something was sent to it that it answered.
    time_point at{};

    friend bool operator==(const lost_run& a, const lost_run& b) {
        return std::tie(a.process, a.alone, a.fate, a.at) ==
               std::tie(b.process, b.alone, b.fate, b.at);
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
    // A copy that was sent at that moment got its answer: what was lost before
    // says nothing of the request.
    bool clear(time_point sent);

    // Whether the request ends the processes that run it: it was in flight on
    // two that ended, on one of them alone. Two ends beside other requests
    // prove nothing: a data centre that fails takes several servers, and
    // popular requests were in flight on each.
    bool proves_crash() const;
    // Whether a run was lost at a process that may have ended.
    bool is_suspect() const;
    // The latest run that was lost while alone and whose process's fate is
    // open, or null.
    const lost_run* undecided_trial() const;

    // The latest run that was lost at a process that may have ended, or null.
    const lost_run* latest_lost() const;

    std::size_t ended_processes() const;
    const std::vector<lost_run>& runs() const { return runs_; }
    // When the copy was sent whose answer cleared the request last.
    const std::optional<time_point>& cleared() const { return cleared_; }

private:
    template <typename Matches>
    bool settle(const std::string& backend_server, Matches matches);

    std::vector<lost_run> runs_;        // the longest known first
    std::optional<time_point> cleared_; // runs lost until then do not count
};

} // namespace waxwingvale::decision
