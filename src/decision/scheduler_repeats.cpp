#include <algorithm>
#include <utility>

#include "decision/assumed_instances.hpp"
#include "decision/service_scheduler_impl.hpp"

// Payment for repeated attempts. The instance that sends one pays for it, from
// its own part of the service's budget or from what peers give of theirs.
namespace waxwingvale::decision {

namespace {

using namespace std::chrono_literals;

// How long a repeated attempt waits for what peers give.
constexpr duration payment_wait = 60ms;

bool is_repeat(const request_needs& request) {
    return request.attempt > 1 || request.only_if_spare;
}

} // namespace

// Requests are counted, and repeated attempts paid for, where callers sent
// them. Instances of former releases leave the payment to the owner.
service_scheduler::impl::payment
service_scheduler::impl::pay(queued_request& entry) {
    const request_arrived& request = entry.arrival;
    const bool arrived_here = entry.peer.empty();
    if (!is_repeat(request)) {
        if (arrived_here) {
            repeats_.on_request(now_);
        }
        return payment::done;
    }
    if (entry.repeat_paid) {
        return payment::done;
    }
    entry.repeat_paid = repeats_.try_spend(now_);
    if (entry.repeat_paid) {
        ++repeat_report_.allowed;
        return payment::done;
    }
    return arrived_here && !linked_peers_.empty() && lenders_.is_hopeful(now_)
               ? payment::awaited
               : payment::impossible;
}

void service_scheduler::impl::decline_unpaid(const queued_request& entry) {
    ++repeat_report_.declined;
    decline(entry, refusal_reason::retry_budget);
}

void service_scheduler::impl::await_payment(queued_request entry) {
    entry.pay_by = std::min(now_ + payment_wait, entry.arrival.deadline);
    unpaid_.push_back(std::move(entry));
}

// Pays for what waits for it, as far as the budget now allows, and declines
// what has waited in vain.
void service_scheduler::impl::settle_unpaid() {
    for (queued_request& entry : std::exchange(unpaid_, {})) {
        if (entry.arrival.deadline <= now_) {
            actions_->emplace_back(expire_request{entry.arrival.request});
            continue;
        }
        const payment paid = pay(entry);
        if (paid == payment::done) {
            place(std::move(entry));
        } else if (paid == payment::impossible || entry.pay_by <= now_) {
            decline_unpaid(entry);
        } else {
            unpaid_.push_back(std::move(entry));
        }
    }
    ask_for_repeats();
}

void service_scheduler::impl::ask_for_repeats() {
    if (unpaid_.empty()) {
        return;
    }
    const std::set<std::string> peers(linked_peers_.begin(),
                                      linked_peers_.end());
    const auto asked = lenders_.begin_round(peers, now_);
    if (asked.empty()) {
        return;
    }
    // Twice as many as are needed, since some peers have nothing left.
    const double wanted =
        std::max(1.0, 2.0 * static_cast<double>(unpaid_.size()) /
                          static_cast<double>(asked.size()));
    for (const std::string& peer : asked) {
        actions_->emplace_back(ask_repeats{peer, lenders_.round(), wanted});
    }
}

void service_scheduler::impl::on(const repeats_asked& event) {
    const double given = repeats_.give(event.wanted, now_);
    actions_->emplace_back(give_repeats{event.peer, event.round, given});
}

void service_scheduler::impl::on(const repeats_given& event) {
    const auto asked_at =
        lenders_.answered(event.peer, event.round, event.amount);
    if (asked_at) {
        repeats_.receive(event.amount,
                         *asked_at + repeat_budget::credit_lifetime);
    }
}

void service_scheduler::impl::cancel_unpaid(request_id request) {
    const auto is_cancelled = [request](const queued_request& entry) {
        return entry.arrival.request == request;
    };
    unpaid_.erase(std::remove_if(unpaid_.begin(), unpaid_.end(), is_cancelled),
                  unpaid_.end());
}

void service_scheduler::impl::decline_all_unpaid() {
    for (const queued_request& entry : std::exchange(unpaid_, {})) {
        decline(entry, refusal_reason::no_backend_server);
    }
}

void service_scheduler::impl::note_sent(const queued_request& entry) {
    if (is_repeat(entry.arrival) && !entry.repeat_paid) {
        ++repeat_report_.uncounted;
    }
}

// The extra repeats are divided among all instances that are known, also those
// that are gone or out of reach: they may spend theirs.
void service_scheduler::impl::update_repeat_limits() {
    const service* configured =
        view_.config ? find_service(*view_.config, service_) : nullptr;
    if (configured == nullptr) {
        return;
    }
    const auto known = std::max<std::size_t>(view_.members.size(), 1);
    const auto least = view_.members_known ? 1 : assumed_instances;
    repeat_limits limits;
    limits.window = configured->budgets.repeat_window;
    limits.fraction =
        configured->budgets.repeats > 0
            ? configured->budgets.repeats
            : configured->budgets.retries + configured->budgets.hedges;
    limits.extra = part_of_extra(configured->budgets.repeat_extra,
                                 std::max<std::size_t>(known, least),
                                 self_.name, service_);
    repeats_.change_limits(limits, now_);
}

repeat_report service_scheduler::impl::report_repeats(time_point now) const {
    repeat_report report = repeat_report_;
    report.tokens = repeats_.tokens(now);
    report.capacity = repeats_.capacity(now);
    report.held_for = now - process_began_;
    return report;
}

} // namespace waxwingvale::decision
