#include "waxwing_replay/replay_world.hpp"

#include <algorithm>
#include <utility>

#include "waxwing_replay/routing_policy.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

// After the last arrival, calls in flight may still end.
constexpr duration run_out{3000000};

} // namespace

replay_world::replay_world(const workload& load) : load_(load) {
    const unsigned queue = load.size.slots * backend_queue_per_slot;
    backends_.reserve(load.size.backend_servers);
    for (unsigned i = 0; i < load.size.backend_servers; ++i) {
        backends_.emplace_back(times_, load.size.slots, queue);
        backends_.back().stand_on(load.size.machines,
                                  decision::combine_hashes(load.seed, i + 1));
    }
    for (const fault& known : load.faults) {
        const bool of_entry_instances = known.kind == fault_kind::owner_lost ||
                                        known.kind == fault_kind::split;
        if (!of_entry_instances) {
            backends_[known.place].add_fault(known);
        }
    }
}

run_figures replay_world::run(routing_policy& policy) {
    policy_ = &policy;
    policy.begin(*this);
    arrive_next();
    times_.run_until(time_point(load_.length + run_out));
    run_figures figures;
    figures.user = load_.size.user;
    figures.scenario = load_.scenario;
    figures.seed = load_.seed;
    figures.probes = policy.probe_rate();
    statistics_.fill(figures, capacity_of(load_.size),
                     load_.length - load_.warm_up);
    return figures;
}

void replay_world::arrive_next() {
    if (next_call_ == load_.calls.size()) {
        return;
    }
    const call& next = load_.calls[next_call_++];
    if (next.arrives_at.time_since_epoch() >= load_.warm_up) {
        statistics_.owed(next.work, next.arrives_at, work_of(next).worth);
    }
    times_.at(next.arrives_at, [this, &next] {
        policy_->arrive(next);
        arrive_next();
    });
}

bool replay_world::measuring() const {
    const duration at = times_.now().time_since_epoch();
    return at >= load_.warm_up && at < load_.length;
}

std::uint64_t replay_world::send(const call& of, unsigned attempt,
                                 std::size_t server, result_handler handler) {
    const std::uint64_t id = next_attempt_++;
    in_flight_[id] = {server, times_.now(), std::move(handler)};
    const duration service_time =
        service_time_of(work_of(of), load_.seed, of.id, attempt);
    const time_point deadline = deadline_of(of);
    times_.after(backend_hop, [this, id, server, service_time, deadline] {
        if (in_flight_.count(id) == 0) {
            return;
        }
        backends_[server].submit(
            id, service_time, deadline, [this, id](const attempt_result& r) {
                times_.after(backend_hop, [this, id, r] { conclude(id, r); });
            });
    });
    times_.at(deadline, [this, id] {
        if (in_flight_.count(id) != 0) {
            const std::size_t at = in_flight_[id].server;
            conclude(id, {decision::attempt_verdict::timed_out, false, {}});
            times_.after(backend_hop,
                         [this, id, at] { backends_[at].cancel(id); });
        }
    });
    return id;
}

void replay_world::conclude(std::uint64_t attempt_id,
                            const attempt_result& result) {
    const auto found = in_flight_.find(attempt_id);
    if (found == in_flight_.end()) {
        return;
    }
    const attempt_in_flight ended = std::move(found->second);
    in_flight_.erase(found);
    ended.handler(result, times_.now() - ended.sent_at);
}

void replay_world::cancel(std::uint64_t attempt_id) {
    const auto found = in_flight_.find(attempt_id);
    if (found == in_flight_.end()) {
        return;
    }
    const std::size_t at = found->second.server;
    in_flight_.erase(found);
    times_.after(backend_hop,
                 [this, attempt_id, at] { backends_[at].cancel(attempt_id); });
}

void replay_world::answer(const call& of) {
    if (!measuring()) {
        return;
    }
    if (times_.now() > deadline_of(of)) {
        statistics_.ended(call_end::late);
        return;
    }
    const duration took = times_.now() - of.first_arrived_at;
    const work_profile& work = work_of(of);
    const bool in_time = !has_target(of) || took <= work.target;
    statistics_.answered(times_.now() - of.arrives_at, in_time);
    earn(of, in_time ? work.worth : work.late_worth);
}

void replay_world::earn(const call& of, double worth) {
    if (of.first_arrived_at.time_since_epoch() >= load_.warm_up) {
        statistics_.earned(of.work, of.first_arrived_at, worth);
    }
}

void replay_world::fail(const call& of) {
    if (measuring()) {
        statistics_.ended(times_.now() >= deadline_of(of) ? call_end::late
                                                          : call_end::failed);
    }
}

// Callers with one deadline for all wait at most for a third of what is left.
duration replay_world::patience(const call& of, duration retry_after) const {
    const duration most = (deadline_of(of) - times_.now()) / 3;
    return has_target(of) ? std::min(retry_after, most) : retry_after;
}

void replay_world::refuse(const call& of, duration retry_after) {
    const bool comes_back =
        of.returns < work_of(of).returns && retry_after > duration::zero();
    if (!comes_back) {
        if (measuring()) {
            statistics_.ended(call_end::refused);
        }
        return;
    }
    call again = of;
    again.returns += 1;
    again.arrives_at = times_.now() + patience(of, retry_after);
    if (measuring()) {
        statistics_.came_back_at(again.arrives_at);
    }
    times_.at(again.arrives_at, [this, again] { policy_->arrive(again); });
}

} // namespace waxwingvale::replay
