#include <waxwingvale/decision/scheduler_events.hpp>

#include <tuple>

namespace waxwingvale::decision {

namespace {

auto fields(const request_needs& needs) {
    return std::tie(needs.tenant, needs.request_class, needs.nature,
                    needs.priority, needs.attempt, needs.excluded,
                    needs.data_centres, needs.isolated, needs.only_if_spare);
}

} // namespace

bool operator==(const waiting_request& a, const waiting_request& b) {
    return fields(a) == fields(b) &&
           std::tie(a.request, a.time_left, a.target_left, a.repeat_paid) ==
               std::tie(b.request, b.time_left, b.target_left, b.repeat_paid);
}

bool operator==(const declined_request& a, const declined_request& b) {
    return std::tie(a.request, a.retry_after) ==
           std::tie(b.request, b.retry_after);
}

bool operator==(const grant_use& a, const grant_use& b) {
    return std::tie(a.verdict, a.service_time, a.load, a.answer_bytes, a.terms,
                    a.time_known) == std::tie(b.verdict, b.service_time, b.load,
                                              b.answer_bytes, b.terms,
                                              b.time_known);
}

} // namespace waxwingvale::decision
