#include <waxwingvale/membership/crash_verdict_table.hpp>

#include <algorithm>
#include <utility>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

namespace {

constexpr std::size_t deaths_for_quarantine = 2;

bool same_death(const death_record& a, const death_record& b) {
    return a.backend_server == b.backend_server &&
           a.incarnation == b.incarnation;
}

} // namespace

bool crash_verdict_table::add_verdict(const crash_verdict& verdict) {
    if (contains(verdict.fingerprint)) {
        return false;
    }
    if (verdicts_.size() >= limits_.fingerprints) {
        evict_oldest_verdict();
    }
    verdicts_.emplace(verdict.fingerprint, verdict);
    new_verdicts_.push_back(verdict);
    ++counters_.added;
    return true;
}

void crash_verdict_table::evict_oldest_verdict() {
    const auto oldest = std::min_element(
        verdicts_.begin(), verdicts_.end(), [](const auto& a, const auto& b) {
            return a.second.since < b.second.since;
        });
    verdicts_.erase(oldest);
    ++counters_.evicted;
}

bool crash_verdict_table::add_death(const death_record& death) {
    if (contains(death.fingerprint) || death_count_ >= limits_.deaths) {
        return false;
    }
    auto& known = deaths_[death.fingerprint];
    const auto same =
        std::find_if(known.begin(), known.end(),
                     [&](const auto& each) { return same_death(each, death); });
    if (same != known.end()) {
        return false;
    }
    known.push_back(death);
    ++death_count_;
    new_deaths_.push_back(death);
    quarantine_if_confirmed(death);
    return true;
}

void crash_verdict_table::quarantine_if_confirmed(const death_record& latest) {
    const auto& known = deaths_.at(latest.fingerprint);
    const bool any_alone =
        std::any_of(known.begin(), known.end(),
                    [](const auto& each) { return each.alone; });
    if (known.size() < deaths_for_quarantine || !any_alone) {
        return;
    }
    add_verdict({latest.fingerprint, latest.backend_server, latest.since});
}

bool crash_verdict_table::expire(time_point now) {
    const auto is_old = [&](time_point since) {
        return now - since >= limits_.lifetime;
    };
    bool changed = false;
    for (auto at = verdicts_.begin(); at != verdicts_.end();) {
        const bool old = is_old(at->second.since);
        at = old ? verdicts_.erase(at) : std::next(at);
        counters_.expired += old ? 1 : 0;
        changed = changed || old;
    }
    death_count_ = 0;
    for (auto at = deaths_.begin(); at != deaths_.end();) {
        auto& list = at->second;
        list.erase(std::remove_if(
                       list.begin(), list.end(),
                       [&](const auto& each) { return is_old(each.since); }),
                   list.end());
        death_count_ += list.size();
        at = list.empty() ? deaths_.erase(at) : std::next(at);
    }
    return changed;
}

std::vector<std::uint64_t> crash_verdict_table::fingerprints() const {
    std::vector<std::uint64_t> all;
    for (const auto& each : verdicts_) {
        all.push_back(each.first);
    }
    return all;
}

std::vector<crash_verdict> crash_verdict_table::verdicts() const {
    std::vector<crash_verdict> all;
    for (const auto& each : verdicts_) {
        all.push_back(each.second);
    }
    return all;
}

std::vector<death_record> crash_verdict_table::deaths() const {
    std::vector<death_record> all;
    for (const auto& each : deaths_) {
        all.insert(all.end(), each.second.begin(), each.second.end());
    }
    return all;
}

std::vector<crash_verdict> crash_verdict_table::take_new_verdicts() {
    return std::exchange(new_verdicts_, {});
}

std::vector<death_record> crash_verdict_table::take_new_deaths() {
    return std::exchange(new_deaths_, {});
}

std::uint64_t crash_verdict_table::digest() const {
    std::uint64_t digest = 0;
    for (const auto& each : verdicts_) {
        digest ^= decision::stable_hash("quarantine", each.first);
    }
    return digest;
}

} // namespace waxwingvale::membership
