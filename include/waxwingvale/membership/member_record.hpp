#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include <waxwingvale/model/member.hpp>

namespace waxwingvale::membership {

// Whether a member answers, according to the latest reports.
enum class liveness {
    alive,
    suspect, // an instance lost contact; the member can still refute this
    gone
};

// A member as entry instances exchange it.
struct member_record {
    member_id id; // incarnation 0: known only from the platform's list
    std::string data_centre;
    member_addresses addresses;
    member_capacity capacity;
    // Incremented only by the member itself, to override reports by other
    // members (suspect, gone) within one incarnation.
    std::uint64_t assertion = 0;
    liveness life = liveness::alive;
    // The member shuts down gracefully. Never reset within an incarnation.
    bool leaving = false;
    // The member reaches no backend server, as it says itself.
    bool partitioned = false;
    // The member's process runs late again and again, as it says itself.
    bool runs_late = false;

    friend bool operator==(const member_record& a, const member_record& b) {
        return std::tie(a.id, a.data_centre, a.addresses, a.capacity,
                        a.assertion, a.life, a.leaving, a.partitioned,
                        a.runs_late) == std::tie(b.id, b.data_centre,
                                                 b.addresses, b.capacity,
                                                 b.assertion, b.life, b.leaving,
                                                 b.partitioned, b.runs_late);
    }
};

// The state of a member as published in a view.
member_state to_member_state(const member_record& record);
member to_member(const member_record& record);

} // namespace waxwingvale::membership
