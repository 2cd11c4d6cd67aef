#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/key_record.hpp"

#include <waxwingvale/decision/key_store.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// The records of a key store, limited in number, memory and age.
//
// The record of an own key (a key that names this member) is removed when the
// time since the issue of the key exceeds the lifetime. From then on every own
// key that was issued at that time or earlier counts as expired, whether it was
// recorded or not. A copy that arrives after the removal of its record is
// therefore not taken for the first copy.
class key_table {
public:
    key_table(time_point started, const key_limits& limits);

    const key_limits& limits() const { return limits_; }
    void change_limits(const key_limits& limits) { limits_ = limits; }

    key_record* find(const std::string& key);
    const key_record* find(const std::string& key) const;

    // Adds an own key that was issued that many seconds after the start.
    key_record& insert_own(const std::string& key, std::uint64_t issued_s);

    // Adds a key that names another member.
    key_record& insert_foreign(const std::string& key, time_point now);

    void erase(const std::string& key);

    // Whether there is room for one more attempt with an answer of the largest
    // size.
    bool has_room_for_attempt() const;
    bool has_room_for_key() const { return records_.size() < limits_.keys; }

    // Reserves room for the answer of an attempt when the attempt starts, and
    // releases it when the attempt ends.
    void reserve_answer() { ++reserved_; }
    void release_answer() { --reserved_; }

    // Stores the answer in the record. Returns false if the answer is too large
    // or if no room was reserved for it and there is none.
    bool keep_answer(key_record& record, const answer_ptr& answer);

    // Removes the records whose lifetime has passed, except those in flight.
    void expire(time_point now);

    // Whether an own key with this issue time has expired.
    bool expired(std::uint64_t issued_s) const;
    // Whether the issue time is further ahead than max_issued_ahead.
    bool issued_in_future(std::uint64_t issued_s, time_point now) const;

    // Returns the time until the oldest records are removed.
    duration time_until_room(time_point now) const;

    duration age(time_point now) const { return now - started_; }
    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    using record_map = std::unordered_map<std::string, key_record>;

    key_record& insert(const std::string& key, std::int64_t lifetime_start_s);
    void remove(record_map::iterator found);
    void remove_unless_in_flight(const std::string* key,
                                 std::int64_t new_start_s);

    time_point started_;
    key_limits limits_;
    record_map records_;
    // Keys by the second, counted from the start, at which their lifetime
    // began.
    std::map<std::int64_t, std::vector<const std::string*>> keys_by_second_;
    // Own keys issued up to this second, inclusive, have expired.
    std::int64_t expired_until_s_ = -1;
    std::size_t answer_bytes_ = 0;
    std::size_t reserved_ = 0; // number of answers
};

} // namespace waxwingvale::decision
