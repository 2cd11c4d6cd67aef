#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/history_rules.hpp"

namespace waxwingvale::decision {
namespace {

struct moment {
    time_point at{};
    std::string where;
};

// What the history tells of one request.
struct request_story {
    time_point invoked_at{};
    request_invoked invoked;
    std::vector<history_event> answers;
    std::vector<moment> runs; // when and where it began to run
    std::set<std::string> digests;
    bool every_digest_known = true;
};

using request_stories = std::map<std::string, request_story>;

std::string place_of(const backend_life& backend) {
    return backend.backend_server + '/' + std::to_string(backend.incarnation);
}

void add_digest(request_story& story, const run_ended& run) {
    if (run.how == run_ending::cancelled || run.how == run_ending::expired) {
        return;
    }
    if (run.body_digest.empty()) {
        story.every_digest_known = false;
    } else {
        story.digests.insert(run.body_digest);
    }
}

request_stories stories_of(const history& events) {
    request_stories stories;
    for_each_event<request_invoked>(
        events, [&](time_point at, const request_invoked& invoked) {
            stories[invoked.request].invoked_at = at;
            stories[invoked.request].invoked = invoked;
        });
    const auto find = [&](const std::string& request) {
        const auto found = stories.find(request);
        return found == stories.end() ? nullptr : &found->second;
    };
    for (const auto& event : events) {
        if (const auto* answer = std::get_if<request_answered>(&event.what)) {
            if (auto* story = find(answer->request)) {
                story->answers.push_back(event);
            }
        } else if (const auto* run = std::get_if<run_began>(&event.what)) {
            if (auto* story = find(run->request)) {
                story->runs.push_back({event.at, place_of(run->backend)});
            }
        } else if (const auto* end = std::get_if<run_ended>(&event.what)) {
            if (auto* story = find(end->request)) {
                add_digest(*story, *end);
            }
        }
    }
    return stories;
}

const request_answered& answer_in(const history_event& event) {
    return std::get<request_answered>(event.what);
}

// The latest end of a copy that was a whole answer.
const history_event* last_answer(const request_story& story) {
    const history_event* last = nullptr;
    for (const auto& event : story.answers) {
        if (answer_in(event).status != 0) {
            last = &event;
        }
    }
    return last;
}

std::string listed(const std::vector<moment>& runs) {
    std::string text;
    for (const auto& run : runs) {
        text += (text.empty() ? "" : ", ") + run.where;
    }
    return text;
}

} // namespace

void check_answered(const history& events, const history_bounds&,
                    violations& found) {
    for (const auto& [request, story] : stories_of(events)) {
        const auto* last = last_answer(story);
        if (last == nullptr) {
            found.push_back({history_rule::answered, story.invoked_at, request,
                             "no whole answer and no refusal"});
        } else if (!answer_in(*last).outcome) {
            found.push_back({history_rule::answered, last->at, request,
                             "the answer does not state its outcome"});
        }
    }
}

void check_own_answer(const history& events, const history_bounds&,
                      violations& found) {
    for (const auto& [request, story] : stories_of(events)) {
        for (const auto& event : story.answers) {
            const auto& answer = answer_in(event);
            const bool judged = answer.outcome == run_outcome::ran &&
                                !answer.body_digest.empty() &&
                                story.every_digest_known;
            if (judged && story.digests.count(answer.body_digest) == 0) {
                found.push_back({history_rule::own_answer, event.at, request,
                                 "body " + answer.body_digest +
                                     " is of no run of this request"});
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
    const auto counts = [&](const run_began& run) {
        const auto known = natures.find(run.request);
        return known == natures.end()
                   ? !run.key.empty()
                   : known->second == request_nature::at_most_once;
    };
    // Copies of a request share its key, also when they came from callers
    // that named the request differently.
    std::map<std::string, std::vector<moment>> runs;
    for_each_event<run_began>(events, [&](time_point at, const run_began& run) {
        if (counts(run)) {
            const auto& name = run.key.empty() ? run.request : run.key;
            runs[name].push_back({at, place_of(run.backend)});
        }
    });
    for (const auto& [name, where] : runs) {
        if (where.size() > 1) {
            found.push_back({history_rule::at_most_once, where[1].at, name,
                             "ran at " + listed(where)});
        }
    }
}

namespace {

// Copies of a read, or of a request without a key, are refused each for
// itself: that one did not run says nothing about another.
bool refused_as_a_whole(const request_story& story) {
    return story.invoked.nature == request_nature::at_most_once &&
           (!story.invoked.key.empty() || story.answers.size() == 1);
}

} // namespace

void check_truly_not_run(const history& events, const history_bounds&,
                         violations& found) {
    for (const auto& [request, story] : stories_of(events)) {
        if (story.runs.empty() || !refused_as_a_whole(story)) {
            continue;
        }
        const auto* last = last_answer(story);
        for (const auto& event : story.answers) {
            if (answer_in(event).outcome != run_outcome::not_run) {
                continue;
            }
            // After the last word nothing may run any more; before it, a
            // resend of the caller may.
            if (&event == last || story.runs.front().at <= event.at) {
                found.push_back({history_rule::truly_not_run, event.at, request,
                                 "ran at " + listed(story.runs)});
                break;
            }
        }
    }
}

} // namespace waxwingvale::decision
