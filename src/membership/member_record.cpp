#include <waxwingvale/membership/member_record.hpp>

namespace waxwingvale::membership {

member_state to_member_state(const member_record& record) {
    if (record.life == liveness::gone) {
        return member_state::gone;
    }
    if (record.leaving) {
        return member_state::leaving;
    }
    return record.life == liveness::suspect ? member_state::suspect
                                            : member_state::alive;
}

member to_member(const member_record& record) {
    return {record.id,        record.data_centre,
            record.addresses, to_member_state(record),
            record.capacity,  record.partitioned,
            record.runs_late};
}

} // namespace waxwingvale::membership
