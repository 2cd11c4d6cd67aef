#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

// The start of a run, and the backend process that ran it.
struct run_start {
    time_point at{};
    std::string process;
};

// What a history contains about one request.
struct request_record {
    time_point invoked_at{};
    request_invoked invoked;
    std::vector<history_event> answers;
    std::vector<run_start> runs;
    std::set<std::string> digests;
    bool every_digest_known = true;
};

using request_records = std::map<std::string, request_record>;

std::string process_name(const backend_process& backend) {
    return backend.backend_server + '/' + std::to_string(backend.incarnation);
}

void add_digest(request_record& record, const run_ended& run) {
    if (run.reason == run_end_reason::cancelled ||
        run.reason == run_end_reason::expired) {
        return;
    }
    if (run.body_digest.empty()) {
        record.every_digest_known = false;
    } else {
        record.digests.insert(run.body_digest);
    }
}

request_records records_of(const history& events) {
    request_records records;
    for_each_event<request_invoked>(
        events, [&](time_point at, const request_invoked& invoked) {
            records[invoked.request].invoked_at = at;
            records[invoked.request].invoked = invoked;
        });
    const auto find = [&](const std::string& request) {
        const auto found = records.find(request);
        return found == records.end() ? nullptr : &found->second;
    };
    for (const auto& event : events) {
        if (const auto* answer =
                std::get_if<request_answered>(&event.payload)) {
            if (auto* record = find(answer->request)) {
                record->answers.push_back(event);
            }
        } else if (const auto* run = std::get_if<run_began>(&event.payload)) {
            if (auto* record = find(run->request)) {
                record->runs.push_back({event.at, process_name(run->backend)});
            }
        } else if (const auto* end = std::get_if<run_ended>(&event.payload)) {
            if (auto* record = find(end->request)) {
                add_digest(*record, *end);
            }
        }
    }
    return records;
}

const request_answered& answer_in(const history_event& event) {
    return std::get<request_answered>(event.payload);
}

// Returns the last complete answer, or null.
const history_event* last_complete_answer(const request_record& record) {
    const history_event* last = nullptr;
    for (const auto& event : record.answers) {
        if (answer_in(event).status != 0) {
            last = &event;
        }
    }
    return last;
}

std::string list_of(const std::vector<run_start>& runs) {
    std::string text;
    for (const auto& run : runs) {
        text += (text.empty() ? "" : ", ") + run.process;
    }
    return text;
}

} // namespace

void check_answered(const history& events, const history_bounds&,
                    violations& found) {
    for (const auto& [request, record] : records_of(events)) {
        const auto* last = last_complete_answer(record);
        if (last == nullptr) {
            found.push_back(
                {history_rule::answered, record.invoked_at, request,
                 "received neither a complete answer nor a refusal"});
        } else if (!answer_in(*last).outcome) {
            found.push_back({history_rule::answered, last->at, request,
                             "the answer does not state its outcome"});
        }
    }
}

void check_own_answer(const history& events, const history_bounds&,
                      violations& found) {
    for (const auto& [request, record] : records_of(events)) {
        for (const auto& event : record.answers) {
            const auto& answer = answer_in(event);
            const bool applies = answer.outcome == run_outcome::ran &&
                                 !answer.body_digest.empty() &&
                                 record.every_digest_known;
            if (applies && record.digests.count(answer.body_digest) == 0) {
                found.push_back(
                    {history_rule::own_answer, event.at, request,
                     "answer body " + answer.body_digest +
                         " was not produced by any run of this request"});
            }
        }
    }
}

void check_at_most_once(const history& events, const history_bounds&,
                        violations& found) {
    std::map<std::string, request_nature> natures;
    for_each_event<request_invoked>(
        events, [&](time_point, const request_invoked& invoked) {
            natures[invoked.request] = invoked.nature;
        });
    const auto must_run_once = [&](const run_began& run) {
        const auto known = natures.find(run.request);
        return known == natures.end()
                   ? !run.key.empty()
                   : known->second == request_nature::at_most_once;
    };
    // Runs are grouped by idempotency key because callers may give copies of
    // the same request different names.
    std::map<std::string, std::vector<run_start>> runs;
    for_each_event<run_began>(events, [&](time_point at, const run_began& run) {
        if (must_run_once(run)) {
            const auto& name = run.key.empty() ? run.request : run.key;
            runs[name].push_back({at, process_name(run.backend)});
        }
    });
    for (const auto& [name, starts] : runs) {
        if (starts.size() > 1) {
            found.push_back({history_rule::at_most_once, starts[1].at, name,
                             "ran at " + list_of(starts)});
        }
    }
}

namespace {

// Whether the refusal of one copy states that no copy ran. Copies of a read or
// of a request without a key are refused independently: that one of them did
// not run says nothing about the others.
bool refusal_covers_all_copies(const request_record& record) {
    return record.invoked.nature == request_nature::at_most_once &&
           (!record.invoked.key.empty() || record.answers.size() == 1);
}

} // namespace

void check_truly_not_run(const history& events, const history_bounds&,
                         violations& found) {
    for (const auto& [request, record] : records_of(events)) {
        if (record.runs.empty() || !refusal_covers_all_copies(record)) {
            continue;
        }
        const auto* last = last_complete_answer(record);
        for (const auto& event : record.answers) {
            if (answer_in(event).outcome != run_outcome::not_run) {
                continue;
            }
            // After the last answer the request must not run any more. After an
            // earlier "not run" a resend by the caller may run it.
            if (&event == last || record.runs.front().at <= event.at) {
                found.push_back({history_rule::truly_not_run, event.at, request,
                                 "ran at " + list_of(record.runs)});
                break;
            }
        }
    }
}

} // namespace waxwingvale::decision
