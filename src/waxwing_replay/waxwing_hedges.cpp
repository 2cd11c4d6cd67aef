#include <utility>
#include <variant>

#include "waxwing_replay/waxwing_policy.hpp"

// Second copies of slow reads, as an entry instance sends them.
namespace waxwingvale::replay {

using namespace decision;

void waxwing_policy::watch_for_hedge(std::uint64_t request) {
    const pending_call& known = pending_.at(request);
    if (!hedging_ || known.is_hedge) {
        return;
    }
    entry_instance& instance = instances_[known.instance];
    instance.hedges.on_first_attempt();
    const time_point sent = known.sent;
    const duration delay = known.slow_after > duration::zero()
                               ? known.slow_after
                               : instance.hedges.delay();
    world_->times().after(
        delay, [this, request, sent] { consider_hedge(request, sent); });
}

void waxwing_policy::consider_hedge(std::uint64_t request, time_point sent) {
    const auto found = pending_.find(request);
    if (found == pending_.end() || found->second.sent != sent ||
        found->second.attempt_id == 0) {
        return;
    }
    const pending_call& known = found->second;
    entry_instance& instance = instances_[known.instance];
    hedge_candidate candidate;
    candidate.nature = world_->work_of(known.of).nature;
    candidate.hedged = known.partner != 0;
    candidate.sent = known.sent;
    candidate.slow_after = known.slow_after;
    candidate.deadline = world_->deadline_of(known.of);
    candidate.free_slots = instance.scheduler->has_spare_slot() ? 1 : 0;
    candidate.waiting = static_cast<unsigned>(instance.scheduler->queued());
    const auto decided =
        instance.hedges.on_slow(candidate, world_->times().now());
    if (std::holds_alternative<hedge_now>(decided)) {
        send_hedge(request);
    } else if (const auto* later = std::get_if<hedge_later>(&decided)) {
        world_->times().at(later->at, [this, request, sent] {
            consider_hedge(request, sent);
        });
    }
}

void waxwing_policy::send_hedge(std::uint64_t request) {
    const std::uint64_t hedge = next_request_++;
    pending_call copy = pending_.at(request);
    copy.excluded.push_back(copy.server);
    copy.attempt_id = 0;
    copy.partner = request;
    copy.is_hedge = true;
    pending_[hedge] = std::move(copy);
    pending_.at(request).partner = hedge;
    if (world_->measuring()) {
        world_->statistics().hedged();
    }
    submit(hedge);
}

void waxwing_policy::cancel_partner(std::uint64_t request) {
    const std::uint64_t partner =
        std::exchange(pending_.at(request).partner, 0);
    const auto found = pending_.find(partner);
    if (found == pending_.end()) {
        return;
    }
    const pending_call loser = found->second;
    pending_.erase(found);
    if (loser.attempt_id == 0) {
        send_event(loser.instance, request_cancelled{partner});
        return;
    }
    world_->cancel(loser.attempt_id);
    request_finished ended;
    ended.request = partner;
    ended.verdict = attempt_verdict::cancelled;
    ended.service_time = world_->times().now() - loser.sent;
    send_event(loser.instance, ended);
}

bool waxwing_policy::partner_goes_on(std::uint64_t request) {
    const std::uint64_t partner = pending_.at(request).partner;
    const auto found = pending_.find(partner);
    if (found == pending_.end()) {
        return false;
    }
    found->second.partner = 0;
    found->second.is_hedge = false;
    pending_.erase(request);
    return true;
}

} // namespace waxwingvale::replay
