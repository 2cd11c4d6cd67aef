#include <waxwingvale/decision/repeat_budget.hpp>

namespace waxwingvale::decision {

namespace {

// The window slides in steps of one section.
constexpr int sections_per_window = 20;

} // namespace

// A section is dropped only when all of it lies outside the window.
repeat_budget::part& repeat_budget::current(time_point now) {
    const duration length = limits_.window / sections_per_window;
    while (!parts_.empty() &&
           now - parts_.front().from >= limits_.window + length) {
        requests_ -= parts_.front().requests;
        repeats_ -= parts_.front().repeats;
        parts_.pop_front();
    }
    if (parts_.empty() || now - parts_.back().from >= length) {
        parts_.push_back({now, 0, 0});
    }
    return parts_.back();
}

void repeat_budget::on_request(time_point now) {
    current(now).requests += 1;
    requests_ += 1;
}

bool repeat_budget::try_spend(time_point now) {
    part& section = current(now);
    if (repeats_ + 1 > limits_.fraction * requests_ + limits_.extra) {
        return false;
    }
    section.repeats += 1;
    repeats_ += 1;
    return true;
}

} // namespace waxwingvale::decision
