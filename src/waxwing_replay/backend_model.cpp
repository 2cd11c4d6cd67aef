#include "waxwing_replay/backend_model.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

using decision::attempt_verdict;

// How quickly a backend server that fails fast answers with its error.
constexpr duration fast_failure{1000};

} // namespace

backend_model::backend_model(calendar& times, unsigned slots,
                             unsigned queue_limit)
    : times_(times), slots_(slots), queue_limit_(queue_limit) {}

bool backend_model::has(fault_kind kind) const {
    const time_point now = times_.now();
    return std::any_of(faults_.begin(), faults_.end(), [&](const fault& f) {
        return f.kind == kind && f.from <= now && now < f.until;
    });
}

unsigned backend_model::open_slots() const {
    return has(fault_kind::crowded) ? slots_ / 2 : slots_;
}

// Whoever crowds the server fills its queue too.
unsigned backend_model::queue_room() const {
    return has(fault_kind::crowded) ? 0 : queue_limit_;
}

void backend_model::stand_on(const machine_profile& machine,
                             std::uint64_t seed) {
    machine_ = machine;
    machine_seed_ = seed;
}

// Each machine changes its pace at moments of its own.
double backend_model::slowness() const {
    if (machine_.slowed_share <= 0) {
        return 1;
    }
    const auto step_us = static_cast<double>(machine_.slowed_step.count());
    const double phase = decision::unit_interval(machine_seed_) * step_us;
    const double since =
        static_cast<double>(times_.now().time_since_epoch().count()) + phase;
    const auto step = static_cast<std::uint64_t>(since / step_us);
    const double drawn =
        decision::unit_interval(decision::combine_hashes(machine_seed_, step));
    return drawn < machine_.slowed_share ? machine_.slowed_factor : 1;
}

double backend_model::true_slowness() const {
    return slowness() * (has(fault_kind::straggling) ? straggler_factor : 1.0);
}

backend_load backend_model::told_load() const {
    return {in_service_, static_cast<unsigned>(waiting_.size()), slots_,
            slowness()};
}

attempt_result backend_model::with_load(attempt_result result) const {
    if (!machine_.steady()) {
        result.load = told_load();
    }
    return result;
}

void backend_model::submit(std::uint64_t attempt, duration service_time,
                           time_point deadline, done when_done) {
    if (has(fault_kind::draining)) {
        when_done(with_load({attempt_verdict::shed, true, {}}));
        return;
    }
    if (has(fault_kind::failing_fast)) {
        times_.after(fast_failure, [when_done] {
            when_done({attempt_verdict::failed, false, {}});
        });
        return;
    }
    job made{attempt, service_time, deadline, std::move(when_done)};
    if (in_service_ < open_slots()) {
        run(std::move(made));
    } else if (waiting_.size() < queue_room()) {
        waiting_.push_back(std::move(made));
    } else {
        made.when_done(with_load({attempt_verdict::shed, false, {}}));
    }
}

void backend_model::run(job next) {
    ++in_service_;
    const double factor =
        true_slowness() * machine_.crowding(in_service_, slots_);
    const duration takes(static_cast<std::int64_t>(
        static_cast<double>(next.service_time.count()) * factor));
    const std::uint64_t attempt = next.attempt;
    running_[attempt] = std::move(next);
    times_.after(takes, [this, attempt] { finish(attempt); });
}

void backend_model::finish(std::uint64_t attempt) {
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return; // cancelled
    }
    const done when_done = std::move(found->second.when_done);
    running_.erase(found);
    // What it tells counts the request that it answers.
    const attempt_result answered =
        with_load({attempt_verdict::answered, false, {}});
    --in_service_;
    next_job();
    when_done(answered);
}

void backend_model::next_job() {
    while (!waiting_.empty() && in_service_ < open_slots()) {
        job next = std::move(waiting_.front());
        waiting_.pop_front();
        if (next.deadline > times_.now()) {
            run(std::move(next));
        }
    }
}

void backend_model::cancel(std::uint64_t attempt) {
    if (running_.erase(attempt) != 0) {
        --in_service_;
        next_job();
        return;
    }
    waiting_.erase(
        std::remove_if(waiting_.begin(), waiting_.end(),
                       [&](const job& j) { return j.attempt == attempt; }),
        waiting_.end());
}

} // namespace waxwingvale::replay
