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

// The records of a key store: bounded in number, bytes and time.
//
// A key of our own is forgotten once it was issued longer ago than the
// lifetime, and from then on every key issued that long ago counts as expired,
// seen or not. So a copy that comes after its record was dropped cannot pass
// for a first one.
class key_memory {
public:
    key_memory(time_point started, const key_limits& limits);

    const key_limits& limits() const { return limits_; }
    void change_limits(const key_limits& limits) { limits_ = limits; }

    key_record* find(const std::string& key);
    const key_record* find(const std::string& key) const;

    // A key of our own, issued that many seconds after our start.
    key_record& insert_own(const std::string& key, std::uint64_t issued_s);

    // A key that another member is asked about.
    key_record& insert_foreign(const std::string& key, time_point now);

    void erase(const std::string& key);

    // Whether one more attempt can be remembered with the largest answer.
    bool has_room_for_attempt() const;
    bool has_room_for_key() const { return records_.size() < limits_.keys; }

    // An attempt begins or ends: its answer's room is reserved between.
    void reserve_answer() { ++reserved_; }
    void release_answer() { --reserved_; }

    // Keeps the answer with the record; false when it is too large or, since
    // nothing was reserved for it, there is no room.
    bool keep_answer(key_record& record, const answer_ptr& answer);

    // Forgets what is past the lifetime, but nothing that is in flight.
    void expire(time_point now);

    // Whether an own key issued then is older than what is remembered.
    bool expired(std::uint64_t issued_s) const;
    bool ahead(std::uint64_t issued_s, time_point now) const;

    // How long until the oldest keys are forgotten.
    duration until_room(time_point now) const;

    duration age(time_point now) const { return now - started_; }
    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    using record_map = std::unordered_map<std::string, key_record>;

    key_record& insert(const std::string& key, std::int64_t second);
    void drop(record_map::iterator found);
    void drop_or_keep(const std::string* key, std::int64_t until);

    time_point started_;
    key_limits limits_;
    record_map records_;
    // The keys by the second from which their lifetime counts.
    std::map<std::int64_t, std::vector<const std::string*>> by_second_;
    std::int64_t forgotten_until_ = -1; // own keys issued up to then
    std::size_t answer_bytes_ = 0;
    std::size_t reserved_ = 0;
};

} // namespace waxwingvale::decision
