#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/key_answer.hpp>
#include <waxwingvale/decision/key_decision.hpp>
#include <waxwingvale/model/member.hpp>

namespace waxwingvale::decision {

// Where a key stands in one store. The first four hold the right to run the
// key, or know what became of it; the last three do not hold it.
enum class key_state : std::uint8_t {
    idle,     // ours to run; never started
    running,  // an attempt of ours is in flight
    answered, // ran; the answer is known
    unknown,  // our attempt may have run
    asking,   // another member is being asked
    asked,    // another member was asked, without an end
    moved     // handed over to another member
};

// A member's asking, which a grant is tied to.
struct key_asker {
    member_id member;
    std::uint64_t ask_id = 0;

    friend bool operator==(const key_asker& a, const key_asker& b) {
        return std::tie(a.member, a.ask_id) == std::tie(b.member, b.ask_id);
    }
};

// The part of a record that only keys in flight or handed over need; most keys
// have none, which keeps a remembered key small.
struct key_links {
    std::vector<waiter_id> waiters;      // parked copies here
    std::vector<key_asker> askers;       // members told "in flight"
    std::optional<key_asker> granted_to; // the tombstone
    member_id peer;                      // who is asked
    std::uint64_t ask_id = 0;            // 0: not asked yet
    unsigned redirects = 0;              // of the present asking
};

// What is remembered of one key.
struct key_record {
    key_state state = key_state::idle;
    bool own = true; // the key names this member
    request_fingerprint fingerprint;
    std::uint64_t attempt = 0; // the latest attempt's number
    std::int64_t second = 0;   // from when its lifetime counts
    answer_ptr answer;
    std::unique_ptr<key_links> links;

    key_links& linked() {
        if (!links) {
            links = std::make_unique<key_links>();
        }
        return *links;
    }
    bool handed_over() const { return links && links->granted_to; }
    bool waiting() const {
        return state == key_state::running || state == key_state::asking;
    }
};

} // namespace waxwingvale::decision
