#include "waxwing_load/call_tally.hpp"

#include <array>
#include <cstddef>

namespace waxwingvale::load {

const char* to_string(call_end end) {
    static const std::array<const char*, 6> words = {
        "answered", "failed", "refused", "unknown", "lost", "foreign"};
    return words.at(static_cast<std::size_t>(end));
}

void call_tally::ended(call_end how, duration since_due) {
    ++ends_[how];
    if (how == call_end::answered) {
        latency_.record(since_due);
    }
}

void call_tally::answer(unsigned status, const std::string& outcome,
                        const std::string& reason) {
    ++statuses_[status];
    if (!reason.empty()) {
        ++reasons_[reason];
    }
    ++outcomes_[outcome.empty() ? "none" : outcome];
}

std::uint64_t call_tally::count(call_end how) const {
    const auto found = ends_.find(how);
    return found == ends_.end() ? 0 : found->second;
}

std::uint64_t call_tally::calls() const {
    std::uint64_t sum = 0;
    for (const auto& each : ends_) {
        sum += each.second;
    }
    return sum;
}

} // namespace waxwingvale::load
