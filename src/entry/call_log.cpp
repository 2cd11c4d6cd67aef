#include "entry/call_log.hpp"

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// Lines are handed on and calls summed up so often: seldom enough to cost
// little, often enough to follow by eye.
constexpr duration summing_period = 1s;

} // namespace

story_part part_to_log(const call_record& call, const call_end& end) {
    const bool in_time = !call.target || end.when <= *call.target;
    const bool ordinary = end.answered && end.outcome == run_outcome::ran &&
                          in_time && call.attempts_here == 1;
    if (!ordinary) {
        return story_part::whole;
    }
    return call.kind.nature == request_nature::at_most_once
               ? story_part::outcome
               : story_part::none;
}

void call_log::close(const call_record& call, const call_end& end) {
    const auto part = part_to_log(call, end);
    count(call, end, part != story_part::whole);
    if (part != story_part::none) {
        write(call, part, end.when);
    }
    arm();
}

void call_log::count(const call_record& call, const call_end& end,
                     bool ordinary) {
    auto& counts = counts_[call.labels.request_class];
    if (ordinary) {
        ++counts.ordinary;
    } else if (end.outcome == run_outcome::not_run) {
        ++counts.refused;
    } else if (end.outcome == run_outcome::unknown) {
        ++counts.unknown;
    } else {
        ++counts.other;
    }
}

// The last steps say how it ended: the attempt's end, and the answer. Whole
// stories of all that runs at most once would be five lines each.
void call_log::write(const call_record& call, story_part part, time_point now) {
    constexpr std::size_t last_steps = 2;
    const auto& steps = call.story.steps();
    const auto skipped =
        part == story_part::outcome && steps.size() > last_steps
            ? steps.size() - last_steps
            : 0;
    std::vector<program::log_detail> decisions;
    decisions.reserve(steps.size() - skipped);
    for (auto i = skipped; i < steps.size(); ++i) {
        decisions.push_back(
            {steps[i].event, now - steps[i].when, steps[i].facts});
    }
    program::log_details(fact("request", call.request_id) + " " +
                             fact("call", call.id),
                         decisions);
}

void call_log::arm() {
    if (!armed_) {
        armed_ = true;
        summing_ = timers_.after(summing_period, [this](time_point) {
            armed_ = false;
            sum_up();
        });
    }
}

void call_log::sum_up() {
    for (const auto& entry : counts_) {
        const auto& counts = entry.second;
        program::log_change("calls_ended",
                            {{"class", entry.first},
                             {"ordinary", std::to_string(counts.ordinary)},
                             {"refused", std::to_string(counts.refused)},
                             {"unknown", std::to_string(counts.unknown)},
                             {"other", std::to_string(counts.other)}});
    }
    counts_.clear();
    also_();
    program::flush_log();
    const auto dropped = program::dropped_log_lines();
    metrics_.log_lines_dropped.add(
        static_cast<double>(dropped - dropped_counted_));
    dropped_counted_ = dropped;
}

} // namespace waxwingvale::entry
