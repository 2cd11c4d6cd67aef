#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <waxwingvale/model/outcome.hpp>

#include "waxwing_load/latency_histogram.hpp"

namespace waxwingvale::load {

// How a call ended for its caller.
enum class call_end {
    answered, // 2xx, its own
    failed,   // another status, of the backend server's
    refused,  // "not run", and the caller has stopped asking
    unknown,  // may have run
    lost,     // no whole answer within deadline and attempts
    foreign   // somebody else's answer
};

const char* to_string(call_end end);

// Counts and latencies of the calls that went one way.
class call_tally {
public:
    void ended(call_end how, duration since_due);
    void attempt() { ++attempts_; }
    // What one answer states; the reason is a word of the entry instance's own
    // answers, else empty.
    void answer(unsigned status, const std::string& outcome,
                const std::string& reason);
    void not_sent() { ++not_sent_; }
    void sent_late_by(duration lag) { lag_.record(lag); }

    const latency_histogram& latency() const { return latency_; }
    const latency_histogram& lag() const { return lag_; }
    const std::map<call_end, std::uint64_t>& ends() const { return ends_; }
    const std::map<unsigned, std::uint64_t>& statuses() const {
        return statuses_;
    }
    const std::map<std::string, std::uint64_t>& outcomes() const {
        return outcomes_;
    }
    const std::map<std::string, std::uint64_t>& reasons() const {
        return reasons_;
    }
    std::uint64_t count(call_end how) const;
    std::uint64_t calls() const;
    std::uint64_t attempts() const { return attempts_; }
    std::uint64_t calls_not_sent() const { return not_sent_; }

private:
    latency_histogram latency_; // of calls that were answered
    latency_histogram lag_;     // actual after intended send time
    std::map<call_end, std::uint64_t> ends_;
    std::map<unsigned, std::uint64_t> statuses_;
    std::map<std::string, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> reasons_;
    std::uint64_t attempts_ = 0;
    std::uint64_t not_sent_ = 0;
};

} // namespace waxwingvale::load
