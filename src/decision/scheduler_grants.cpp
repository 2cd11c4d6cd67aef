#include <algorithm>
#include <set>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// Lending of slots to peers, and borrowing of slots from owners.
namespace waxwingvale::decision {

namespace {

// A lease lasts for many typical service times, so that it expires before the
// request ends only if the peer has lost the request.
constexpr int service_times_per_lease = 20;

std::set<request_id> ids_of(const std::vector<waiting_request>& waiting) {
    std::set<request_id> ids;
    for (const waiting_request& each : waiting) {
        ids.insert(each.request);
    }
    return ids;
}

} // namespace

void service_scheduler::impl::on(const slots_asked& event) {
    note_message_from(event.peer);
    for (const request_id request : event.withdrawn) {
        remove_queued({event.peer, request});
    }
    if (event.complete) {
        retain_queued(event.peer, ids_of(event.waiting));
    }
    if (event.waiting.empty() && !event.answer_required) {
        return;
    }
    replies_[event.peer].asked = true;
    if (!table_.owns_any()) {
        return;
    }
    for (const waiting_request& waiting : event.waiting) {
        admit_from_peer(event.peer, waiting);
    }
}

bool service_scheduler::impl::is_queued(const request_origin& origin) const {
    const auto is_this = [&](const queued_request& entry) {
        return entry.origin() == origin;
    };
    return queue_.contains(origin) || late_queue_.contains(origin) ||
           other_owners_queue_.contains(origin) ||
           std::any_of(unpaid_.begin(), unpaid_.end(), is_this);
}

void service_scheduler::impl::remove_queued(const request_origin& origin) {
    queue_.remove(origin);
    late_queue_.remove(origin);
    other_owners_queue_.remove(origin);
}

void service_scheduler::impl::retain_queued(const std::string& peer,
                                            const std::set<request_id>& kept) {
    queue_.retain(peer, kept);
    late_queue_.retain(peer, kept);
    other_owners_queue_.retain(peer, kept);
}

void service_scheduler::impl::admit_from_peer(const std::string& peer,
                                              const waiting_request& waiting) {
    const request_origin origin{peer, waiting.request};
    if (lender_.has_grant_for(origin)) {
        return; // already granted; the grant had not arrived when it was sent
    }
    if (is_queued(origin)) {
        queue_.confirm(origin, now_);
        late_queue_.confirm(origin, now_);
        other_owners_queue_.confirm(origin, now_);
        return;
    }
    queued_request entry;
    static_cast<request_needs&>(entry.arrival) = waiting;
    entry.arrival.request = waiting.request;
    entry.arrival.deadline = now_ + waiting.time_left;
    if (waiting.target_left) {
        entry.arrival.target = now_ + *waiting.target_left;
    }
    entry.arrived_at = now_;
    entry.repeat_paid = waiting.repeat_paid;
    entry.peer = peer;
    entry.last_confirmed_at = now_;
    if (find_owner(view_.owners, peer) != nullptr) {
        admit_from_owner(std::move(entry));
    } else {
        admit(std::move(entry));
    }
}

// Queues a request of another owner. It is neither admitted nor counted here,
// since the other owner has done both.
void service_scheduler::impl::admit_from_owner(queued_request entry) {
    const request_arrived& request = entry.arrival;
    entry.latest_start = admission_.latest_start(request, now_);
    if (request.target) {
        entry.latest_start = latest_start_within_target(request);
    }
    other_owners_queue_.push(std::move(entry));
    next_full_scan_at_ =
        now_; // the new request has not been offered any slot yet
}

// Whether the peer has not confirmed for ask_lifetime that the request is still
// queued: it has ended, or the peer is unreachable.
bool service_scheduler::impl::confirmation_expired(
    const queued_request& entry) const {
    return !entry.peer.empty() &&
           now_ - entry.last_confirmed_at > policy_.ask_lifetime;
}

std::string
service_scheduler::impl::data_centre_of(const std::string& peer) const {
    const auto found =
        std::find_if(view_.members.begin(), view_.members.end(),
                     [&](const member& each) { return each.id.name == peer; });
    return found == view_.members.end() ? std::string() : found->data_centre;
}

void service_scheduler::impl::grant(const queued_request& entry,
                                    slot_table::index at) {
    const request_arrived& request = entry.arrival;
    const duration lease =
        std::clamp(admission_.typical_time(request.request_class) *
                       service_times_per_lease,
                   policy_.lease_min, policy_.lease_max);
    const duration slow = slow_after(entry, at);
    given_grant given;
    given.origin = entry.origin();
    given.request_class = request.request_class;
    given.backend_server = table_.at(at).name();
    given.attempt = table_.start(at, now_, request.isolated);
    given.lease_end = now_ + lease;
    replies_[entry.peer].granted = true;
    const std::string server = given.backend_server;
    const grant_id number = lender_.give(std::move(given));
    actions_->emplace_back(
        give_grant{entry.peer, number, request.request, server, lease, slow});
}

// Answers every peer that asked for slots and got no grant, so that it does not
// take this instance for unreachable.
void service_scheduler::impl::answer_peers() {
    for (auto& reply : replies_) {
        const bool unanswered = reply.second.asked && !reply.second.granted;
        if (!unanswered && reply.second.declined.empty()) {
            continue;
        }
        answer_ask answer;
        answer.peer = reply.first;
        answer.idle = queue_.empty() ? table_.idle_slots(now_) : 0;
        answer.is_owner = table_.owns_any();
        answer.declined = std::move(reply.second.declined);
        actions_->emplace_back(std::move(answer));
    }
    replies_.clear();
}

void service_scheduler::impl::on(const grant_returned& event) {
    note_message_from(event.peer);
    const auto ended = lender_.end_returned(event.peer, event.grant);
    if (!ended) {
        return; // its lease has expired
    }
    if (event.use) {
        record_result({ended->backend_server, ended->request_class,
                       ended->attempt, *event.use});
    } else if (const auto at = table_.find(ended->backend_server)) {
        table_.release(*at, ended->attempt, now_);
    }
}

void service_scheduler::impl::end_expired_leases() {
    while (const auto ended = lender_.end_expired(now_)) {
        if (const auto at = table_.find(ended->backend_server)) {
            table_.release(*at, ended->attempt, now_);
        }
    }
}

void service_scheduler::impl::on(const grant_received& event) {
    note_message_from(event.peer);
    note_owner_message_from(event.peer);
    const bool in_time = borrower_.received(event, now_);
    if (!in_time || !start_on_grant(event)) {
        return_unused(event);
    }
}

void service_scheduler::impl::return_unused(const grant_received& grant) {
    actions_->emplace_back(return_grant{grant.peer, grant.grant, std::nullopt});
}

bool service_scheduler::impl::suits(const queued_request& entry,
                                    const grant_received& grant) const {
    const auto at = table_.find(grant.backend_server);
    return entry.peer.empty() && !blocked_by_stale_view(entry.arrival) && at &&
           may_run_on(entry.arrival, table_.at(*at));
}

// Returns the request that the slot was granted for, if it is still queued;
// otherwise the next one in the queue, if it may run there, since the slot
// serves it as well. An isolated request is not taken instead: only the owner
// can ensure that nothing else runs on the server.
std::optional<queued_request>
service_scheduler::impl::take_request_for(const grant_received& grant) {
    const request_origin origin{{}, grant.request};
    request_queue& queue = late_queue_.contains(origin) ? late_queue_ : queue_;
    if (const queued_request* named = queue.find(origin)) {
        return suits(*named, grant) ? queue.remove(origin) : std::nullopt;
    }
    if (queue_.empty()) {
        return std::nullopt;
    }
    queued_request first = queue_.pop();
    if (suits(first, grant) && !first.arrival.isolated) {
        return first;
    }
    queue_.restore(std::move(first));
    return std::nullopt;
}

bool service_scheduler::impl::start_on_grant(const grant_received& grant) {
    const auto at = table_.find(grant.backend_server);
    if (!at || !table_.may_start(*at, now_)) {
        return false;
    }
    const auto taken = take_request_for(grant);
    if (!taken) {
        return false;
    }
    const request_id request = taken->arrival.request;
    running_request started;
    started.request_class = taken->arrival.request_class;
    started.backend_server = grant.backend_server;
    started.started_at = now_;
    started.incarnation = table_.at(*at).incarnation();
    started.from_peer = grant.peer;
    started.grant = grant.grant;
    running_[request] = std::move(started);
    note_sent(*taken);
    borrower_.remove(request);
    actions_->emplace_back(start_request{request, grant.backend_server,
                                         grant.peer, grant.grant,
                                         grant.slow_after});
    return true;
}

void service_scheduler::impl::on(const ask_answered& event) {
    note_message_from(event.peer);
    if (!event.is_owner) {
        // The peer is a standby that still reaches the actual owner, which this
        // instance does not; or it does not know yet that it is an owner.
        if (unresponsive_owners_.add_non_owner(event.peer, now_)) {
            apply_reachability();
        }
        return;
    }
    note_owner_message_from(event.peer);
    borrower_.answered(event);
    for (const declined_request& declined : event.declined) {
        const auto retry_after = borrower_.declined(event.peer, declined);
        if (!retry_after || has_usable_slots()) {
            continue; // another owner or this instance may have a slot
        }
        const auto expected = expected_time_of(declined.request);
        remove_queued({{}, declined.request});
        borrower_.remove(declined.request);
        actions_->emplace_back(
            refuse_request{declined.request, refusal_reason::too_late,
                           *retry_after, event.peer, expected});
    }
}

const queued_request*
service_scheduler::impl::find_queued(request_id request) const {
    const request_origin origin{{}, request};
    const queued_request* entry = queue_.find(origin);
    return entry != nullptr ? entry : late_queue_.find(origin);
}

duration service_scheduler::impl::expected_time_of(request_id request) const {
    const queued_request* entry = find_queued(request);
    return entry == nullptr
               ? duration::zero()
               : admission_.high_time(entry->arrival.request_class);
}

waiting_request service_scheduler::impl::describe(request_id request) const {
    const queued_request* entry = find_queued(request);
    const request_arrived& arrival = entry->arrival;
    waiting_request described;
    static_cast<request_needs&>(described) = arrival;
    described.request = request;
    described.repeat_paid = entry->repeat_paid;
    described.time_left = arrival.deadline - now_;
    // An owner does not know which servers want nothing from this instance.
    for (std::string& resting : table_.resting_servers(now_)) {
        described.excluded.push_back(std::move(resting));
    }
    if (arrival.target) {
        described.target_left = *arrival.target - now_;
    }
    return described;
}

void service_scheduler::impl::ask_lenders() {
    const bool depends_on_lenders = table_.working_slots() == 0;
    borrower_.update([this](request_id request) { return describe(request); },
                     depends_on_lenders, now_, *actions_);
}

void service_scheduler::impl::on(const peer_reachability& event) {
    if (event.reachable) {
        linked_peers_.insert(event.peer);
    } else {
        linked_peers_.erase(event.peer);
        retain_queued(event.peer, {});
    }
    unresponsive_owners_.remove(event.peer);
    if (is_owner_or_standby(event.peer)) {
        apply_reachability();
    }
}

// Whether the peer is an owner or a standby of the service. Only then does its
// reachability affect the usable slots. Each of 128 instances opens links to
// dozens of others when it starts, few of which are owners; recomputing the
// slots of every server for each link took a quarter of the processor time of a
// start (perf, 100 instances on one machine, some 40 owners of one service).
bool service_scheduler::impl::is_owner_or_standby(
    const std::string& peer) const {
    const auto is_peer = [&](const slot_owner& each) {
        return each.member.name == peer;
    };
    const auto& owners = view_.owners.owners;
    const auto& standbys = view_.owners.standbys;
    return std::any_of(owners.begin(), owners.end(), is_peer) ||
           std::any_of(standbys.begin(), standbys.end(), is_peer);
}

void service_scheduler::impl::note_message_from(const std::string& peer) {
    borrower_.message_received(peer);
    if (unresponsive_owners_.message_received(peer)) {
        apply_reachability();
    }
}

// Records a message that only an owner sends.
void service_scheduler::impl::note_owner_message_from(const std::string& peer) {
    if (unresponsive_owners_.remove(peer)) {
        apply_reachability();
    }
}

void service_scheduler::impl::apply_reachability() {
    std::unordered_set<std::string> reachable = linked_peers_;
    for (const std::string& peer : unresponsive_owners_.names()) {
        reachable.erase(peer);
    }
    view_changed effective = view_;
    effective.owners = with_standbys(view_.owners, self_.name, reachable);
    borrower_.set_lenders(effective.owners.owners, self_.name, reachable);
    const service* configured =
        view_.config ? find_service(*view_.config, service_) : nullptr;
    static const service no_service;
    table_.apply(configured != nullptr ? *configured : no_service, effective,
                 reachable, now_);
    update_repeat_limits();
}

// The link to an owner that has stopped or lost its network stays open for a
// while, and requests that wait for its slots would be lost meanwhile. An owner
// that leaves a request for slots unanswered for silence_limit therefore counts
// as unreachable: a standby is asked, or a share of its slots is used.
void service_scheduler::impl::detect_unresponsive_owners() {
    while (const auto peer = borrower_.unresponsive_lender(now_)) {
        unresponsive_owners_.add_unresponsive(*peer, now_);
        apply_reachability();
    }
}

void service_scheduler::impl::check_unresponsive_owners() {
    for (const std::string& peer : unresponsive_owners_.take_due_checks(now_)) {
        ask_slots message;
        message.peer = peer;
        message.answer_required = true;
        actions_->emplace_back(std::move(message));
    }
}

} // namespace waxwingvale::decision
