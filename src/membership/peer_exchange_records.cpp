#include <waxwingvale/membership/peer_exchange.hpp>

#include <optional>
#include <string>
#include <utility>

#include "membership/reconciliation.hpp"

// How peer_exchange gets the records that differ from a peer's.
namespace waxwingvale::membership {

// Records are requested from one peer at a time. While a fleet starts, all
// tables differ all the time, and every instance would otherwise send its whole
// tables to all its linked peers repeatedly, until links and processors do
// nothing else.
void peer_exchange::queue_records_request(const std::string& peer,
                                          const table_fingerprints& theirs,
                                          time_point now) {
    if (!next_differing_peer_ || peer == next_differing_peer_->peer ||
        peer == tree_.upstream()) {
        next_differing_peer_ = differing_peer{peer, theirs};
    }
    send_due_records_request(now);
}

void peer_exchange::send_due_records_request(time_point now) {
    if (open_records_request_ && now >= open_records_request_->deadline) {
        open_records_request_.reset();
    }
    const bool pausing = now < next_records_request_at_ && fresh_.fresh();
    if (!next_differing_peer_ || open_records_request_ || pausing) {
        return;
    }
    const auto target = std::move(*next_differing_peer_);
    next_differing_peer_.reset();
    const auto request = difference_request(state_, target.tables);
    if (!request) {
        handle_tables_complete(
            target.peer); // the differing records have arrived meanwhile
        return;
    }
    ++counters_.record_requests;
    open_records_request_ =
        open_records_request{target.peer, now + timing_.records_answer_timeout};
    send(target.peer, *request);
}

// Called when all records that the peer had when it answered are present here.
void peer_exchange::handle_tables_complete(const std::string& peer) {
    introduced_ = true;
    const auto awaited = epochs_awaiting_records_.find(peer);
    if (awaited != epochs_awaiting_records_.end()) {
        fresh_.record_peer_answer(awaited->second);
        epochs_awaiting_records_.erase(awaited);
    }
}

void peer_exchange::take(const std::string& peer,
                         const records_request& message, time_point) {
    send(peer, answer_request(state_, message));
}

void peer_exchange::take(const std::string& peer,
                         const records_message& message, time_point now) {
    counters_.records_received += count_of(message);
    merge_records(peer, message, now);
    if (message.answers_request) {
        handle_tables_complete(peer);
        if (open_records_request_ && open_records_request_->peer == peer) {
            open_records_request_.reset();
            next_records_request_at_ = now + timing_.records_request_pause;
        }
    }
    auto newer = missing_from(state_, message);
    if (!is_empty(newer)) {
        send(peer, std::move(newer));
    }
}

void peer_exchange::merge_records(const std::string& peer,
                                  const records_message& message,
                                  time_point now) {
    for (const auto& record : message.members) {
        const bool changed = state_.members.merge(record, now);
        // The sender need not be sent its own record back, unless the merged
        // record differs from it.
        if (changed && *state_.members.find(record.id.name) == record) {
            member_origin_[record.id.name] = peer;
        }
    }
    for (const auto& record : message.beliefs) {
        const bool changed = state_.beliefs.merge(record);
        if (changed && *state_.beliefs.find(record.backend_server) == record) {
            belief_origin_[record.backend_server] = peer;
        }
    }
    for (const auto& record : message.registry) {
        if (state_.registry.merge(record, now)) {
            registry_origin_[record.name] = peer;
        }
    }
    for (const auto& record : message.quarantine) {
        state_.quarantine.add_verdict(record);
    }
    for (const auto& record : message.deaths) {
        state_.quarantine.add_death(record);
    }
}

} // namespace waxwingvale::membership
