#include <waxwingvale/decision/repeat_budget.hpp>

namespace waxwingvale::decision {

namespace {

// The window slides in steps of one section.
constexpr int sections_per_window = 20;

} // namespace

// A section is dropped only when all of it lies outside the window.
repeat_budget::window_section& repeat_budget::current_section(time_point now) {
    const duration length = limits_.window / sections_per_window;
    while (!sections_.empty() &&
           now - sections_.front().start >= limits_.window + length) {
        requests_ -= sections_.front().requests;
        repeats_ -= sections_.front().repeats;
        sections_.pop_front();
    }
    if (sections_.empty() || now - sections_.back().start >= length) {
        sections_.push_back({now, 0, 0});
    }
    return sections_.back();
}

void repeat_budget::on_request(time_point now) {
    current_section(now).requests += 1;
    requests_ += 1;
}

bool repeat_budget::try_spend(time_point now) {
    window_section& section = current_section(now);
    if (repeats_ + 1 > limit()) {
        return false;
    }
    section.repeats += 1;
    repeats_ += 1;
    return true;
}

} // namespace waxwingvale::decision
