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
    const auto state_bits = static_cast<std::uint64_t>(record.life) * 4 +
                            (record.runs_late ? 16 : 0) +
                            (record.partitioned ? 2 : 0) +
                            (record.leaving ? 1 : 0);
    return decision::combine_hashes(hash, state_bits);
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
    : self_name_(self.id.name),
      timing_(timing),
      started_(now),
      precedence_(std::move(precedence)) {
    entries_[self_name_].record = std::move(self);
    mark_changed(self_name_);
}

bool member_table::merge(const member_record& update, time_point now) {
    if (update.id.name == self_name_) {
        return merge_self(update, now);
    }
    if (update.id.incarnation == 0) {
        return false; // known only from the platform's list, not from peers
    }
    auto& known = entries_[update.id.name];
    if (known.record.id.name.empty()) {
        known.record.id.name = update.id.name;
    }
    if (!adopt(known, update, now)) {
        return false;
    }
    mark_changed(update.id.name);
    retire_previous_at_address(known.record, now);
    return true;
}

// Merges the newer parts of `update` into `known`. Returns whether `known`
// changed.
bool member_table::adopt(entry& known, const member_record& update,
                         time_point now) {
    const auto before = known.record;
    const bool same_incarnation =
        update.id.incarnation == before.id.incarnation;
    if (precedence_->supersedes(update, before)) {
        known.record = update;
        known.record.life = before.life;
        set_liveness(known, update.life, now);
    }
    if (same_incarnation) {
        // Leaving is never reset within an incarnation, whichever record is
        // the later one.
        known.record.leaving = before.leaving || update.leaving;
    }
    return !(known.record == before);
}

void member_table::set_liveness(entry& known, liveness life, time_point now) {
    if (known.record.life == life) {
        return;
    }
    known.record.life = life;
    if (life == liveness::suspect) {
        known.suspected_at = now;
    } else if (life == liveness::gone) {
        known.gone_at = now;
    }
}

// A process that listens on the address of another one has replaced it, even
// under a different name. Without this rule the previous process would keep its
// slots until failure detection notices its silence, although every connection
// to its address reaches the new process.
void member_table::retire_previous_at_address(const member_record& update,
                                              time_point now) {
    if (update.life == liveness::gone) {
        return;
    }
    for (auto& [name, other] : entries_) {
        const bool is_previous =
            name != update.id.name && name != self_name_ &&
            other.record.life != liveness::gone &&
            other.record.id.incarnation < update.id.incarnation &&
            same_address(other.record, update);
        if (is_previous) {
            set_liveness(other, liveness::gone, now);
            mark_changed(name);
        }
    }
}

bool member_table::merge_self(const member_record& update, time_point now) {
    const auto own = self().id.incarnation;
    if (own == 0 || update.id.incarnation > own) {
        return handle_other_incarnation(update, now);
    }
    if (update.id.incarnation < own || replaced_) {
        return false;
    }
    return refute(update);
}

bool member_table::handle_other_incarnation(const member_record& update,
                                            time_point now) {
    if (update.id.incarnation >= self_from_peers_.id.incarnation) {
        self_from_peers_ = update;
    }
    auto& own = self_entry().record;
    if (own.id.incarnation == 0) {
        return false;
    }
    if (now - started_ > timing_.startup_period) {
        // A later process has this name: this one was replaced while it was
        // suspended or cut off from the network. If both raised their
        // incarnations, they would override each other endlessly.
        const bool changed = !replaced_;
        replaced_ = true;
        own.life = liveness::gone;
        return changed;
    }
    // The wall clock was set back since this instance's previous incarnation.
    own.id.incarnation = update.id.incarnation + 1;
    own.assertion = 0;
    mark_changed(self_name_);
    return true;
}

// Handles a record of this member's present incarnation. Raises the assertion
// number above that of a record that reports this member as suspect or gone,
// and above numbers that an earlier process of this incarnation used.
bool member_table::refute(const member_record& update) {
    auto& own = self_entry().record;
    const bool newly_leaving = update.leaving && !own.leaving;
    own.leaving = own.leaving || update.leaving;
    const bool ahead = update.assertion > own.assertion;
    const bool contradicted =
        update.assertion == own.assertion && update.life != own.life;
    if (ahead || contradicted) {
        own.assertion = update.assertion;
        ++refutations_;
        assert_self();
        return true;
    }
    if (newly_leaving) {
        mark_changed(self_name_);
    }
    return newly_leaving;
}

void member_table::assert_self() {
    ++self_entry().record.assertion;
    mark_changed(self_name_);
}

bool member_table::accuse(const std::string& name, time_point now) {
    const auto found = entries_.find(name);
    if (name == self_name_ || found == entries_.end() ||
        found->second.record.life != liveness::alive ||
        found->second.record.id.incarnation == 0) {
        return false;
    }
    set_liveness(found->second, liveness::suspect, now);
    mark_changed(name);
    return true;
}

bool member_table::apply_platform_list(const std::vector<listed_member>& list,
                                       time_point now) {
    for (auto& each : entries_) {
        each.second.listed = false;
    }
    bool changed = false;
    for (const auto& listed : list) {
        changed = apply_listed(listed, now) || changed;
    }
    list_seen_ = true;
    version_ += changed ? 1 : 0;
    return changed;
}

bool member_table::apply_listed(const listed_member& listed, time_point now) {
    auto& known = entries_[listed.name];
    auto& record = known.record;
    bool changed = false;
    if (record.id.incarnation == 0 && listed.name != self_name_) {
        const bool is_new = record.id.name.empty();
        if (is_new) {
            known.first_listed_at = now;
            known.suspected_at = now;
            record.life = liveness::suspect;
        }
        changed = is_new || !(record.addresses == listed.addresses);
        record.id.name = listed.name;
        record.data_centre = listed.data_centre;
        record.addresses = listed.addresses;
    }
    known.listed = true;
    if (!listed.leaving) {
        known.listed_leaving_incarnation.reset();
        return changed;
    }
    if (!known.listed_leaving_incarnation) {
        // At this instance's own start the list may still refer to its previous
        // incarnation.
        const bool means_previous_incarnation =
            listed.name == self_name_ && !list_seen_;
        known.listed_leaving_incarnation =
            means_previous_incarnation ? 0 : record.id.incarnation;
    }
    return apply_listed_leaving(known) || changed;
}

bool member_table::apply_listed_leaving(entry& known) {
    auto& record = known.record;
    const bool applies =
        known.listed_leaving_incarnation == record.id.incarnation;
    const bool unconfirmed = record.id.incarnation == 0;
    if ((!applies && !unconfirmed) || record.leaving) {
        return false;
    }
    record.leaving = true;
    if (!unconfirmed) {
        mark_changed(record.id.name);
    }
    return true;
}

bool member_table::tick(time_point now) {
    bool changed = false;
    for (auto at = entries_.begin(); at != entries_.end();) {
        auto& known = at->second;
        const bool confirmed = known.record.id.incarnation > 0;
        const auto limit =
            confirmed ? timing_.suspicion_limit : timing_.unconfirmed_limit;
        if (known.record.life == liveness::suspect &&
            now - known.suspected_at >= limit) {
            set_liveness(known, liveness::gone, now);
            mark_changed(at->first);
            changed = true;
        }
        const bool forget = at->first != self_name_ && !known.listed &&
                            known.record.life == liveness::gone &&
                            now - known.gone_at >= timing_.forget_after;
        at = forget ? entries_.erase(at) : std::next(at);
        version_ += forget ? 1 : 0;
        changed = changed || forget;
    }
    return changed;
}

void member_table::forgive_suspicions(duration stopped, time_point now) {
    for (auto& each : entries_) {
        auto& suspected_at = each.second.suspected_at;
        suspected_at = std::min(suspected_at + stopped, now);
    }
}

bool member_table::start_life(std::uint64_t proposed) {
    auto& own = self_entry().record;
    if (replaced_ || proposed == own.id.incarnation) {
        return false;
    }
    const auto highest =
        std::max(own.id.incarnation, self_from_peers_.id.incarnation);
    const bool continues =
        own.id.incarnation == 0 && proposed == self_from_peers_.id.incarnation;
    own.life = liveness::alive;
    own.leaving = continues && self_from_peers_.leaving;
    own.assertion = continues ? self_from_peers_.assertion + 1 : 0;
    own.id.incarnation =
        proposed > highest || continues ? proposed : highest + 1;
    mark_changed(self_name_);
    return true;
}

bool member_table::leave() {
    auto& own = self_entry().record;
    if (own.leaving) {
        return false;
    }
    own.leaving = true;
    assert_self();
    return true;
}

bool member_table::set_partitioned(bool partitioned) {
    auto& own = self_entry().record;
    if (own.partitioned == partitioned) {
        return false;
    }
    own.partitioned = partitioned;
    assert_self();
    return true;
}

bool member_table::set_runs_late(bool late) {
    auto& own = self_entry().record;
    if (own.runs_late == late) {
        return false;
    }
    own.runs_late = late;
    assert_self();
    return true;
}

bool member_table::set_serving(bool serving) {
    auto& own = self_entry().record;
    const auto life = serving ? liveness::alive : liveness::gone;
    if (replaced_ || own.life == life) {
        return false;
    }
    own.life = life;
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
