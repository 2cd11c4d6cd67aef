#include <waxwingvale/decision/service_scheduler.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

namespace waxwingvale::decision {

bool operator==(const slot_report& a, const slot_report& b) {
    return std::tie(a.backend_server, a.owned, a.slots, a.usable, a.in_flight,
                    a.straggler, a.failing, a.slowness) ==
           std::tie(b.backend_server, b.owned, b.slots, b.usable, b.in_flight,
                    b.straggler, b.failing, b.slowness);
}

service_scheduler::service_scheduler(std::string service, member_id self,
                                     const scheduling_policy& policy,
                                     time_point process_began)
    : impl_(std::make_unique<impl>(std::move(service), std::move(self), policy,
                                   process_began)) {}

service_scheduler::~service_scheduler() = default;
service_scheduler::service_scheduler(service_scheduler&&) noexcept = default;
service_scheduler&
service_scheduler::operator=(service_scheduler&&) noexcept = default;

void service_scheduler::handle(const scheduler_event& event, time_point now,
                               std::vector<scheduler_action>& actions) {
    impl_->handle(event, now, actions);
}

std::size_t service_scheduler::queued() const {
    return impl_->queued();
}

std::size_t service_scheduler::in_flight() const {
    return impl_->in_flight();
}

bool service_scheduler::has_spare_slot() const {
    return impl_->has_spare_slot();
}

bool service_scheduler::owns_slots() const {
    return impl_->owns_slots();
}

std::vector<slot_report> service_scheduler::slots() const {
    return impl_->slots();
}

scheduler_load service_scheduler::load(time_point now) const {
    return impl_->load(now);
}

std::vector<std::string>
service_scheduler::servers_to_probe(time_point now) const {
    return impl_->servers_to_probe(now);
}

bool service_scheduler::may_probe(const std::string& backend_server,
                                  time_point now) const {
    return impl_->may_probe(backend_server, now);
}

namespace {

const route_table* routes_of(const configuration_ptr& config) {
    return config && config->routes ? config->routes.get() : nullptr;
}

} // namespace

service_scheduler::impl::impl(std::string service, member_id self,
                              const scheduling_policy& policy,
                              time_point process_began)
    : service_(std::move(service)),
      self_(std::move(self)),
      policy_(policy),
      unresponsive_owners_(policy.ask_refresh),
      table_(self_, policy),
      queue_(policy.fairness_window, policy.urgency_only_interval),
      late_queue_(policy.fairness_window, policy.urgency_only_interval),
      other_owners_queue_(policy.fairness_window, policy.urgency_only_interval),
      process_began_(process_began),
      repeats_({}),
      admission_(policy),
      lender_(self_),
      borrower_(policy) {
    repeats_.hold_since(process_began_);
}

void service_scheduler::impl::handle(const scheduler_event& event,
                                     time_point now, action_list& actions) {
    const duration late_by = lateness(now);
    now_ = std::max(now_, now);
    actions_ = &actions;
    if (late_by >= policy_.silence_limit) {
        borrower_.forgive_silence(late_by, now_);
        prolong_awaiting_view(late_by);
    }
    if (late_by >= policy_.stop_limit) {
        revive_overdue();
    }
    const bool cancels = std::holds_alternative<request_cancelled>(event);
    if (cancels) {
        // Handled before overdue requests are dropped. Otherwise the cancelled
        // request, if overdue, would be refused to a caller that has gone.
        on(std::get<request_cancelled>(event));
    }
    end_expired_leases();
    drop_overdue();
    if (!cancels) {
        std::visit([this](const auto& each) { on(each); }, event);
    }
    after_event();
    actions_ = nullptr;
}

// How much later than this scheduler asked for the event comes: for so long the
// process did not run, or was busy.
duration service_scheduler::impl::lateness(time_point now) const {
    const time_point awaited = wake_at_ ? std::max(*wake_at_, now_) : now_;
    return std::max(now - awaited, duration::zero());
}

// Runs after every event: assigns free slots to queued requests, answers peers,
// and then asks peers for slots.
void service_scheduler::impl::after_event() {
    settle_awaiting_view();
    settle_unpaid();
    dispatch();
    answer_peers();
    check_unresponsive_owners();
    ask_lenders();
    request_wake_up();
}

void service_scheduler::impl::request_wake_up() {
    std::optional<time_point> next = lender_.next_expiry();
    const auto consider = [&](std::optional<time_point> when) {
        if (when && (!next || *when < *next)) {
            next = when;
        }
    };
    consider(unresponsive_owners_.next_check());
    if (!queue_.empty()) {
        consider(queue_.earliest_latest_start());
    }
    if (!late_queue_.empty()) {
        consider(late_queue_.earliest_latest_start());
    }
    if (queued() > 0) {
        const auto change = table_.next_change(now_);
        next_full_scan_at_ =
            std::min(next_full_scan_at_, change.value_or(next_full_scan_at_));
        consider(change);
        consider(borrower_.next_change());
        if (table_.any_working_slot_free(now_)) {
            consider(next_full_scan_at_);
        }
    }
    consider(next_end_of_awaiting_view());
    if (!unpaid_.empty()) {
        consider(std::max(lenders_.round_ends(), now_ + duration(1)));
    }
    const bool pending = wake_at_ && *wake_at_ > now_;
    if (!next || (pending && *wake_at_ <= *next)) {
        return;
    }
    wake_at_ = std::max(*next, now_ + duration(1));
    actions_->emplace_back(wake_at{*wake_at_});
}

void service_scheduler::impl::on(const view_changed& event) {
    const service* found =
        event.config ? find_service(*event.config, service_) : nullptr;
    service_removed_ = event.config && found == nullptr;
    if (service_removed_) {
        // The state of its servers and the running requests are kept for a
        // later configuration that names the service again.
        decline_all();
        return;
    }
    view_ = event;
    static const service no_service;
    const service& configured = found != nullptr ? *found : no_service;
    admission_.configure(configured, routes_of(view_.config));
    table_.set_service_time(admission_.mean_time({}));
    if (view_.config) {
        queue_.set_tenants(view_.config->tenants);
    }
    unresponsive_owners_.check_all_now(now_);
    apply_reachability();
    decline_unserveable();
}

void service_scheduler::impl::on(const probe_started& event) {
    if (const auto at = table_.find(event.backend_server)) {
        table_.probe_started(*at, now_);
    }
}

void service_scheduler::impl::on(const probe_ended& event) {
    if (const auto at = table_.find(event.backend_server)) {
        table_.probe_finished(*at, event, now_);
        decline_unserveable();
    }
}

void service_scheduler::impl::on(const time_passed& /*event*/) {
    detect_unresponsive_owners();
}

bool service_scheduler::impl::has_spare_slot() const {
    const bool may_borrow = !has_usable_slots() && borrower_.has_lenders();
    return queue_.empty() && (may_borrow || table_.any_working_slot_free(now_));
}

scheduler_load service_scheduler::impl::load(time_point now) const {
    scheduler_load load;
    load.owns_slots = table_.owns_any();
    load.queued = queue_.size();
    load.queued_late = late_queue_.size();
    load.working_slots = table_.working_slots();
    load.prompt_slots = table_.prompt_slots(now);
    load.spare_slots = spare_slots();
    load.busy_slots = table_.busy_slots();
    load.lent_slots = lender_.given();
    load.arrivals_per_second = offered_load_.arrivals_per_second(now);
    load.refused = refused_;
    load.repeats = report_repeats(now);
    return load;
}

// Probes are worth their cost only while requests arrive.
std::vector<std::string>
service_scheduler::impl::servers_to_probe(time_point now) const {
    const bool busy = offered_load_.arrivals_per_second(now) >= 1.0;
    return busy ? table_.servers_to_probe(now) : std::vector<std::string>();
}

bool service_scheduler::impl::may_probe(const std::string& backend_server,
                                        time_point now) const {
    const auto at = table_.find(backend_server);
    return at && table_.may_probe(*at, now);
}

std::vector<slot_report> service_scheduler::impl::slots() const {
    std::vector<slot_report> reports;
    for (const backend_slots& server : table_.all()) {
        const auto place = table_.find(server.name());
        slot_report report;
        report.backend_server = server.name();
        report.owned = place && table_.owned(*place);
        report.slots = server.configured();
        report.usable = server.limit();
        report.in_flight = server.in_flight();
        report.straggler = server.health().straggler();
        report.failing = server.health().failing();
        report.slowness = server.health().slowness();
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace waxwingvale::decision
