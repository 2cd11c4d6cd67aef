#include "decision/key_memory.hpp"

#include <algorithm>

namespace waxwingvale::decision {
namespace {

std::int64_t whole_seconds(duration span) {
    return std::chrono::duration_cast<std::chrono::seconds>(span).count();
}

// A mark that a caller made up must not overflow the arithmetic.
std::int64_t bounded_mark(std::uint64_t issued_s) {
    constexpr auto most = std::uint64_t{1} << 40U;
    return static_cast<std::int64_t>(std::min(issued_s, most));
}

} // namespace

key_memory::key_memory(time_point started, const key_limits& limits)
    : started_(started), limits_(limits) {}

key_record* key_memory::find(const std::string& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

const key_record* key_memory::find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

key_record& key_memory::insert(const std::string& key, std::int64_t second) {
    const auto inserted = records_.emplace(key, key_record{}).first;
    by_second_[second].push_back(&inserted->first);
    inserted->second.second = second;
    return inserted->second;
}

key_record& key_memory::insert_own(const std::string& key,
                                   std::uint64_t issued_s) {
    return insert(key, bounded_mark(issued_s));
}

key_record& key_memory::insert_foreign(const std::string& key, time_point now) {
    auto& record = insert(key, whole_seconds(age(now)));
    record.own = false;
    return record;
}

void key_memory::drop(record_map::iterator found) {
    if (found->second.answer) {
        answer_bytes_ -= size_in_memory(*found->second.answer);
    }
    records_.erase(found);
}

void key_memory::erase(const std::string& key) {
    const auto found = records_.find(key);
    // Keys are erased soon after they came, so they stand near the end.
    auto& keys = by_second_[found->second.second];
    const auto at = std::find(keys.rbegin(), keys.rend(), &found->first);
    keys.erase(std::next(at).base());
    drop(found);
}

bool key_memory::has_room_for_attempt() const {
    const auto reserved = (reserved_ + 1) * limits_.max_answer_bytes;
    return answer_bytes_ + reserved <= limits_.answer_bytes;
}

bool key_memory::keep_answer(key_record& record, const answer_ptr& answer) {
    if (record.answer) {
        answer_bytes_ -= size_in_memory(*record.answer);
        record.answer.reset();
    }
    const auto bytes = answer ? size_in_memory(*answer) : 0;
    const auto reserved = reserved_ * limits_.max_answer_bytes;
    if (!answer || bytes > limits_.max_answer_bytes ||
        answer_bytes_ + reserved + bytes > limits_.answer_bytes) {
        return false;
    }
    answer_bytes_ += bytes;
    record.answer = answer;
    return true;
}

void key_memory::expire(time_point now) {
    const auto bound = whole_seconds(age(now) - limits_.lifetime);
    if (age(now) < limits_.lifetime || bound <= forgotten_until_) {
        return;
    }
    forgotten_until_ = bound;
    while (!by_second_.empty() && by_second_.begin()->first <= bound) {
        const auto keys = std::move(by_second_.begin()->second);
        by_second_.erase(by_second_.begin());
        for (const auto* key : keys) {
            drop_or_keep(key, bound + 1);
        }
    }
}

void key_memory::drop_or_keep(const std::string* key, std::int64_t until) {
    const auto found = records_.find(*key);
    if (!found->second.waiting()) {
        drop(found);
        return;
    }
    found->second.second = until;
    by_second_[until].push_back(key);
}

bool key_memory::expired(std::uint64_t issued_s) const {
    return bounded_mark(issued_s) <= forgotten_until_;
}

bool key_memory::ahead(std::uint64_t issued_s, time_point now) const {
    return bounded_mark(issued_s) > whole_seconds(age(now) + limits_.max_ahead);
}

duration key_memory::until_room(time_point now) const {
    if (by_second_.empty()) {
        return limits_.come_back_in;
    }
    const auto oldest = std::chrono::seconds(by_second_.begin()->first + 1);
    const auto left = oldest + limits_.lifetime - age(now);
    return std::clamp<duration>(left, limits_.come_back_in, limits_.lifetime);
}

} // namespace waxwingvale::decision
