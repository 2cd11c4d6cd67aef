#include "entry/request_end_log.hpp"

#include <utility>

#include <waxwingvale/program/state_log.hpp>

#include "entry/call_story.hpp"

namespace waxwingvale::entry {

namespace {

using forwarding::request_end;

constexpr request_end all_ends[] = {
    request_end::answered,      request_end::caller_left,
    request_end::caller_silent, request_end::body_refused,
    request_end::sent_too_late, request_end::server_cut,
    request_end::deadline_cut,  request_end::closing,
    request_end::memory_short,  request_end::stopped};

} // namespace

request_end_log::request_end_log(std::string event, const std::string& metric,
                                 program::metrics& all,
                                 std::function<void()> arm)
    : event_(std::move(event)), arm_(std::move(arm)) {
    for (const auto end : all_ends) {
        counters_.emplace(
            end, all.add_counter(metric, "Requests that were read, by end.",
                                 {{"end", to_string(end)}}));
    }
}

// What an instance did to a request is among the lines that a flood of others
// leaves room for.
void request_end_log::record(const forwarding::ended_request& ended) {
    counters_.at(ended.end).add();
    const auto party = party_of(ended.end);
    if (party == forwarding::ended_by::instance) {
        program::log_warning(event_,
                             {{"request", ended.name},
                              {"peer", ended.peer},
                              {"end", to_string(ended.end)},
                              {"by", to_string(party)},
                              {"status", std::to_string(ended.status)},
                              {"unsent", std::to_string(ended.unsent)}});
        return;
    }
    program::log_details(fact("request", ended.name) + " " +
                             fact("peer", ended.peer),
                         {{event_,
                           {},
                           fact("end", to_string(ended.end)) + " " +
                               fact("by", to_string(party)) + " " +
                               fact("status", ended.status) + " " +
                               fact("unsent", ended.unsent) + " " +
                               fact("took_ms", ended.took)}});
    arm_();
}

} // namespace waxwingvale::entry
