#include <waxwingvale/membership/member_record.hpp>

namespace waxwingvale::membership {

member_state state_of(const member_record& record) {
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
    return {record.id, record.data_centre, record.addresses, state_of(record),
            record.capacity};
}

} // namespace waxwingvale::membership
