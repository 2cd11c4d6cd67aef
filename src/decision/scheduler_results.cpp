#include <cmath>
#include <optional>
#include <utility>

#include "decision/service_scheduler_impl.hpp"

// What the answers to started requests change.
namespace waxwingvale::decision {

// A long answer states its terms long before it ends. The owner of a leased
// slot hears of them when the slot is returned.
void service_scheduler::impl::on(const answer_begun& event) {
    const auto found = running_.find(event.request);
    if (found == running_.end() || server_restarted(found->second)) {
        return;
    }
    if (const auto at = table_.find(found->second.backend_server)) {
        table_.record_terms(*at, event.terms, found->second.started_at, now_);
        decline_unserveable();
    }
}

void service_scheduler::impl::on(const request_finished& event) {
    const auto found = running_.find(event.request);
    if (found == running_.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    running_.erase(found);
    grant_use use;
    use.verdict = event.verdict;
    use.service_time = event.service_time > duration::zero()
                           ? event.service_time
                           : now_ - ended.started_at;
    use.time_known = event.time_known;
    use.load = event.load;
    use.answer_bytes = event.answer_bytes;
    use.terms = event.terms;
    if (!server_restarted(ended)) {
        record_rest(ended, event.terms);
        record_result(
            {ended.backend_server, ended.request_class, ended.attempt, use});
    }
    if (!ended.from_peer.empty()) {
        actions_->emplace_back(return_grant{ended.from_peer, ended.grant, use});
    }
}

// A server that asks for rest asks the instance whose request it turned away,
// whoever owns its slots.
void service_scheduler::impl::record_rest(
    const running_request& ended, const std::optional<backend_terms>& terms) {
    const auto at = table_.find(ended.backend_server);
    if (at && terms && terms->rest) {
        table_.record_rest(*at, *terms->rest, now_);
    }
}

// Whether the backend server has restarted since the request was started.
bool service_scheduler::impl::server_restarted(
    const running_request& ended) const {
    const auto at = table_.find(ended.backend_server);
    return at && is_of_former(ended.incarnation, table_.at(*at).incarnation());
}

// Updates the estimates of the server and of the class with the result of an
// attempt. An attempt on a slot leased from a peer has the reference 0, which
// no other attempt has: the server's pace at its start is not known here.
void service_scheduler::impl::record_result(const finished_attempt& ended) {
    const auto at = table_.find(ended.backend_server);
    if (!at) {
        return;
    }
    const grant_use& use = ended.use;
    ended_attempt expected = table_.finish(*at, ended.attempt, use, now_);
    if (expected.of_previous_incarnation) {
        return; // it ran on an earlier process of this backend server
    }
    if (use.terms && (use.terms->leaving || use.terms->rest)) {
        decline_unserveable();
    }
    const auto at_usual_pace = duration(static_cast<duration::rep>(
        static_cast<double>(use.service_time.count()) *
        std::exp(-expected.log_slowdown)));
    const auto relative = use.time_known
                              ? std::optional(admission_.log_ratio_to_typical(
                                    ended.request_class, at_usual_pace))
                              : std::nullopt;
    expected.baseline_known = admission_.baseline_known(ended.request_class);
    table_.learn(*at, expected, use.verdict, relative, now_);
    if (use.verdict != attempt_verdict::answered) {
        return;
    }
    admission_.add_answer_size(ended.request_class, use.answer_bytes);
    if (!use.time_known) {
        return;
    }
    // Service times of stragglers must not become the usual time.
    const bool lightly_loaded =
        expected.lightly_loaded ||
        (expected.moderately_loaded && !expected.baseline_known);
    if (!table_.at(*at).health().straggler()) {
        admission_.add_service_time(ended.request_class, at_usual_pace,
                                    expected.slowness_known && lightly_loaded);
        table_.set_service_time(admission_.mean_time({}));
    }
}

} // namespace waxwingvale::decision
