#include "decision/key_table.hpp"

#include <algorithm>

namespace waxwingvale::decision {
namespace {

std::int64_t whole_seconds(duration span) {
    return std::chrono::duration_cast<std::chrono::seconds>(span).count();
}

// Callers may send any issue time. The limit prevents an overflow in later
// computations.
std::int64_t clamped_issue_time(std::uint64_t issued_s) {
    constexpr auto max_issue_time = std::uint64_t{1} << 40U;
    return static_cast<std::int64_t>(std::min(issued_s, max_issue_time));
}

} // namespace

key_table::key_table(time_point started, const key_limits& limits)
    : started_(started), limits_(limits) {}

key_record* key_table::find(const std::string& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

const key_record* key_table::find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

key_record& key_table::insert(const std::string& key,
                              std::int64_t lifetime_start_s) {
    const auto inserted = records_.emplace(key, key_record{}).first;
    keys_by_second_[lifetime_start_s].push_back(&inserted->first);
    inserted->second.lifetime_start_s = lifetime_start_s;
    return inserted->second;
}

key_record& key_table::insert_own(const std::string& key,
                                  std::uint64_t issued_s) {
    return insert(key, clamped_issue_time(issued_s));
}

key_record& key_table::insert_foreign(const std::string& key, time_point now) {
    auto& record = insert(key, whole_seconds(age(now)));
    record.own = false;
    return record;
}

void key_table::remove(record_map::iterator found) {
    if (found->second.answer) {
        answer_bytes_ -= size_in_memory(*found->second.answer);
    }
    records_.erase(found);
}

void key_table::erase(const std::string& key) {
    const auto found = records_.find(key);
    // Keys are erased soon after their insertion and are therefore near the end
    // of the list.
    auto& keys = keys_by_second_[found->second.lifetime_start_s];
    const auto at = std::find(keys.rbegin(), keys.rend(), &found->first);
    keys.erase(std::next(at).base());
    remove(found);
}

bool key_table::has_room_for_attempt() const {
    const auto reserved = (reserved_ + 1) * limits_.max_answer_bytes;
    return answer_bytes_ + reserved <= limits_.answer_bytes;
}

bool key_table::keep_answer(key_record& record, const answer_ptr& answer) {
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

void key_table::expire(time_point now) {
    const auto bound = whole_seconds(age(now) - limits_.lifetime);
    if (age(now) < limits_.lifetime || bound <= expired_until_s_) {
        return;
    }
    expired_until_s_ = bound;
    while (!keys_by_second_.empty() &&
           keys_by_second_.begin()->first <= bound) {
        const auto keys = std::move(keys_by_second_.begin()->second);
        keys_by_second_.erase(keys_by_second_.begin());
        for (const auto* key : keys) {
            remove_unless_in_flight(key, bound + 1);
        }
    }
}

void key_table::remove_unless_in_flight(const std::string* key,
                                        std::int64_t new_start_s) {
    const auto found = records_.find(*key);
    if (!found->second.in_flight()) {
        remove(found);
        return;
    }
    found->second.lifetime_start_s = new_start_s;
    keys_by_second_[new_start_s].push_back(key);
}

bool key_table::expired(std::uint64_t issued_s) const {
    return clamped_issue_time(issued_s) <= expired_until_s_;
}

bool key_table::issued_in_future(std::uint64_t issued_s, time_point now) const {
    return clamped_issue_time(issued_s) >
           whole_seconds(age(now) + limits_.max_issued_ahead);
}

duration key_table::time_until_room(time_point now) const {
    if (keys_by_second_.empty()) {
        return limits_.retry_after;
    }
    const auto oldest =
        std::chrono::seconds(keys_by_second_.begin()->first + 1);
    const auto left = oldest + limits_.lifetime - age(now);
    return std::clamp<duration>(left, limits_.retry_after, limits_.lifetime);
}

} // namespace waxwingvale::decision
