#include <waxwingvale/membership/member_table.hpp>

#include <algorithm>
#include <tuple>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

std::uint64_t hash_of(const member_record& record) {
    auto hash = decision::stable_hash(record.id.name, record.id.incarnation);
    hash = decision::combine_hashes(hash, record.assertion);
    const auto word =
        static_cast<std::uint64_t>(record.life) * 2 + (record.leaving ? 1 : 0);
    return decision::combine_hashes(hash, word);
}

bool same_address(const member_record& a, const member_record& b) {
    return a.addresses.host == b.addresses.host &&
           a.addresses.control_port == b.addresses.control_port &&
           a.addresses.control_port != 0;
}

} // namespace

bool latest_assertion_wins::supersedes(const member_record& candidate,
                                       const member_record& known) const {
    const auto rank = [](const member_record& record) {
        return std::make_tuple(record.id.incarnation, record.assertion,
                               static_cast<int>(record.life));
    };
    return rank(candidate) > rank(known);
}

member_table::member_table(member_record self, member_timing timing,
                           time_point now)
    : member_table(std::move(self), timing, now,
                   std::make_shared<latest_assertion_wins>()) {}

member_table::member_table(member_record self, member_timing timing,
                           time_point now,
                           std::shared_ptr<const member_precedence> precedence)
    : self_(self.id.name),
      timing_(timing),
      started_(now),
      precedence_(std::move(precedence)) {
    entries_[self_].record = std::move(self);
    mark_changed(self_);
}

bool member_table::merge(const member_record& word, time_point now) {
    if (word.id.name == self_) {
        return merge_self(word, now);
    }
    if (word.id.incarnation == 0) {
        return false; // the platform's word, which everybody reads alone
    }
    auto& known = entries_[word.id.name];
    if (known.record.id.name.empty()) {
        known.record.id.name = word.id.name;
    }
    if (!adopt(known, word, now)) {
        return false;
    }
    mark_changed(word.id.name);
    retire_former_at(known.record, now);
    return true;
}

// Takes over what is newer in the word; whether anything was.
bool member_table::adopt(entry& known, const member_record& word,
                         time_point now) {
    const auto before = known.record;
    const bool same_life = word.id.incarnation == before.id.incarnation;
    if (precedence_->supersedes(word, before)) {
        known.record = word;
        known.record.life = before.life;
        set_life(known, word.life, now);
    }
    if (same_life) {
        // Leaving is never taken back within a life, whoever spoke last.
        known.record.leaving = before.leaving || word.leaving;
    }
    return !(known.record == before);
}

void member_table::set_life(entry& known, liveness life, time_point now) {
    if (known.record.life == life) {
        return;
    }
    known.record.life = life;
    if (life == liveness::suspect) {
        known.suspected = now;
    } else if (life == liveness::gone) {
        known.gone = now;
    }
}

// A process that listens where another did has replaced it, under whatever
// name. Without this the former would keep its slots until its silence is
// noticed, although everybody who connects finds another in its place.
void member_table::retire_former_at(const member_record& word, time_point now) {
    if (word.life == liveness::gone) {
        return;
    }
    for (auto& [name, other] : entries_) {
        const bool former = name != word.id.name && name != self_ &&
                            other.record.life != liveness::gone &&
                            other.record.id.incarnation < word.id.incarnation &&
                            same_address(other.record, word);
        if (former) {
            set_life(other, liveness::gone, now);
            mark_changed(name);
        }
    }
}

bool member_table::merge_self(const member_record& word, time_point now) {
    const auto mine = self().id.incarnation;
    if (mine == 0 || word.id.incarnation > mine) {
        return hear_other_life(word, now);
    }
    if (word.id.incarnation < mine || replaced_) {
        return false;
    }
    return refute(word);
}

bool member_table::hear_other_life(const member_record& word, time_point now) {
    if (word.id.incarnation >= heard_self_.id.incarnation) {
        heard_self_ = word;
    }
    auto& mine = self_entry().record;
    if (mine.id.incarnation == 0) {
        return false;
    }
    if (now - started_ > timing_.settling) {
        // A later process bears this name: we were replaced while we were
        // stopped or cut off. Asserting ourselves would start an endless
        // contest with it.
        const bool changed = !replaced_;
        replaced_ = true;
        mine.life = liveness::gone;
        return changed;
    }
    // Our wall clock stands before that of our former life.
    mine.id.incarnation = word.id.incarnation + 1;
    mine.assertion = 0;
    mark_changed(self_);
    return true;
}

// Word of our present life: what is said against us is overruled, and a
// former process's assertions are passed.
bool member_table::refute(const member_record& word) {
    auto& mine = self_entry().record;
    const bool newly_leaving = word.leaving && !mine.leaving;
    mine.leaving = mine.leaving || word.leaving;
    const bool ahead = word.assertion > mine.assertion;
    const bool against_us =
        word.assertion == mine.assertion && word.life != mine.life;
    if (ahead || against_us) {
        mine.assertion = word.assertion;
        ++refutations_;
        assert_self();
        return true;
    }
    if (newly_leaving) {
        mark_changed(self_);
    }
    return newly_leaving;
}

void member_table::assert_self() {
    ++self_entry().record.assertion;
    mark_changed(self_);
}

bool member_table::accuse(const std::string& name, time_point now) {
    const auto found = entries_.find(name);
    if (name == self_ || found == entries_.end() ||
        found->second.record.life != liveness::alive ||
        found->second.record.id.incarnation == 0) {
        return false;
    }
    set_life(found->second, liveness::suspect, now);
    mark_changed(name);
    return true;
}

bool member_table::take_platform_list(const std::vector<listed_member>& list,
                                      time_point now) {
    for (auto& each : entries_) {
        each.second.listed = false;
    }
    bool changed = false;
    for (const auto& listed : list) {
        changed = take_listed(listed, now) || changed;
    }
    list_seen_ = true;
    version_ += changed ? 1 : 0;
    return changed;
}

bool member_table::take_listed(const listed_member& listed, time_point now) {
    auto& known = entries_[listed.name];
    auto& record = known.record;
    bool changed = false;
    if (record.id.incarnation == 0 && listed.name != self_) {
        const bool is_new = record.id.name.empty();
        if (is_new) {
            known.listed_first = now;
            known.suspected = now;
            record.life = liveness::suspect;
        }
        changed = is_new || !(record.addresses == listed.addresses);
        record.id.name = listed.name;
        record.data_centre = listed.data_centre;
        record.addresses = listed.addresses;
    }
    known.listed = true;
    if (!listed.leaving) {
        known.listed_leaving.reset();
        return changed;
    }
    if (!known.listed_leaving) {
        // At our own start the list may still mean our former life.
        const bool about_former = listed.name == self_ && !list_seen_;
        known.listed_leaving = about_former ? 0 : record.id.incarnation;
    }
    return apply_listed_leaving(known) || changed;
}

bool member_table::apply_listed_leaving(entry& known) {
    auto& record = known.record;
    const bool applies = known.listed_leaving == record.id.incarnation;
    const bool never_heard = record.id.incarnation == 0;
    if ((!applies && !never_heard) || record.leaving) {
        return false;
    }
    record.leaving = true;
    if (!never_heard) {
        mark_changed(record.id.name);
    }
    return true;
}

bool member_table::tick(time_point now) {
    bool changed = false;
    for (auto at = entries_.begin(); at != entries_.end();) {
        auto& known = at->second;
        const bool heard = known.record.id.incarnation > 0;
        const auto limit =
            heard ? timing_.suspicion_limit : timing_.unheard_limit;
        if (known.record.life == liveness::suspect &&
            now - known.suspected >= limit) {
            set_life(known, liveness::gone, now);
            mark_changed(at->first);
            changed = true;
        }
        const bool forget = at->first != self_ && !known.listed &&
                            known.record.life == liveness::gone &&
                            now - known.gone >= timing_.forget_after;
        at = forget ? entries_.erase(at) : std::next(at);
        version_ += forget ? 1 : 0;
        changed = changed || forget;
    }
    return changed;
}

void member_table::restart_suspicions(time_point now) {
    for (auto& each : entries_) {
        each.second.suspected = now;
    }
}

bool member_table::start_life(std::uint64_t proposed) {
    auto& mine = self_entry().record;
    if (replaced_ || proposed == mine.id.incarnation) {
        return false;
    }
    const auto highest =
        std::max(mine.id.incarnation, heard_self_.id.incarnation);
    const bool goes_on =
        mine.id.incarnation == 0 && proposed == heard_self_.id.incarnation;
    mine.life = liveness::alive;
    mine.leaving = goes_on && heard_self_.leaving;
    mine.assertion = goes_on ? heard_self_.assertion + 1 : 0;
    mine.id.incarnation =
        proposed > highest || goes_on ? proposed : highest + 1;
    mark_changed(self_);
    return true;
}

bool member_table::leave() {
    auto& mine = self_entry().record;
    if (mine.leaving) {
        return false;
    }
    mine.leaving = true;
    assert_self();
    return true;
}

bool member_table::set_serving(bool serving) {
    auto& mine = self_entry().record;
    const auto life = serving ? liveness::alive : liveness::gone;
    if (replaced_ || mine.life == life) {
        return false;
    }
    mine.life = life;
    assert_self();
    return true;
}

const member_record* member_table::find(const std::string& name) const {
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::size_t member_table::present() const {
    const auto count =
        std::count_if(entries_.begin(), entries_.end(), [](const auto& known) {
            return known.second.record.life != liveness::gone;
        });
    return static_cast<std::size_t>(count);
}

std::vector<member> member_table::members() const {
    std::vector<member> all;
    for (const auto& each : entries_) {
        all.push_back(to_member(each.second.record));
    }
    return all;
}

std::vector<member_record> member_table::take_changes() {
    std::vector<member_record> changes;
    for (const auto& name : std::exchange(changed_, {})) {
        const auto* record = find(name);
        if (record != nullptr && record->id.incarnation > 0) {
            changes.push_back(*record);
        }
    }
    return changes;
}

void member_table::mark_changed(const std::string& name) {
    ++version_;
    if (std::find(changed_.begin(), changed_.end(), name) == changed_.end()) {
        changed_.push_back(name);
    }
}

std::vector<member_record>
member_table::in_buckets(const bucket_set& buckets) const {
    std::vector<member_record> records;
    for (const auto& [name, known] : entries_) {
        if (known.record.id.incarnation > 0 && buckets.test(bucket_of(name))) {
            records.push_back(known.record);
        }
    }
    return records;
}

digest_buckets member_table::digest() const {
    digest_buckets buckets{};
    for (const auto& [name, known] : entries_) {
        if (known.record.id.incarnation > 0) {
            buckets.at(bucket_of(name)) ^= hash_of(known.record);
        }
    }
    return buckets;
}

} // namespace waxwingvale::membership
