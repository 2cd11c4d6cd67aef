#pragma once

#include <cstddef>
#include <string>

#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/entry/backend_answer.hpp>
#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/view.hpp>

#include "entry/call_record.hpp"

// What the log says of each decision on a call, as "key=value key=value";
// docs/operations/log-lines.md explains every field.
namespace waxwingvale::entry {

// Logs a request that became no call, and so has no story. `by` is the view
// whose configuration decided so, or null.
void log_unnamed(const io::http_request& request, const char* event,
                 const view* by, const std::string& detail);

std::string taken_facts(const call_record& call, const view& known,
                        time_point now);
// `queued` requests wait here.
std::string refused_facts(const decision::refuse_request& refusal,
                          std::size_t queued);
std::string answered_facts(const call_record& call, run_outcome outcome,
                           unsigned status);
std::string left_facts(const call_record& call);
std::string placed_facts(const running_attempt& attempt, bool second_copy);
std::string ended_facts(const running_attempt& attempt,
                        const backend_answer& answer, duration took);

} // namespace waxwingvale::entry
