#include "entry/caller_interest.hpp"

#include <waxwingvale/decision/departed_caller.hpp>

namespace waxwingvale::entry {

bool caller_interest::may_send(const call_record& call) const {
    return !call.caller->caller_has_left() || others_wait(call);
}

bool caller_interest::must_end(const call_record& call) const {
    if (call.detour) {
        return others_wait(call); // the instance that serves it decides
    }
    decision::departed_call departed;
    departed.nature = call.kind.nature;
    departed.sent = sent(call.running);
    departed.body_complete =
        !call.content.more_body || call.content.more_body->complete();
    departed.answer_begun = call.answering;
    departed.others_wait = others_wait(call);
    return decision::must_end(departed);
}

run_outcome caller_interest::outcome_if_dropped(const call_record& call) const {
    const bool may_run = sent(call.running) || sent(call.hedge) || call.detour;
    return may_run ? run_outcome::unknown : call.earlier;
}

bool caller_interest::others_wait(const call_record& call) const {
    const bool holds_key = call.key && call.key->attempt != 0;
    return holds_key && keys_.is_awaited(call.key->key);
}

bool caller_interest::sent(
    const std::optional<running_attempt>& attempt) const {
    return attempt && pool_.sent(attempt->call);
}

} // namespace waxwingvale::entry
