#include "configuration_checker.hpp"

#include <algorithm>

namespace waxwingvale {

namespace {

// The bounds apply to an instance that has been running and in contact with an
// instance that can read the platform for this long.
constexpr duration min_contact_time = std::chrono::seconds(3);
constexpr duration max_configuration_delay = std::chrono::seconds(2);

} // namespace

configuration_checker::configuration_checker(const fleet_simulation& fleet)
    : fleet_(fleet), instances_(fleet.instances()) {}

bool configuration_checker::can_read(unsigned number) const {
    const auto& up = instances_[number].up_since;
    return up && fleet_.now() - *up >= min_contact_time &&
           fleet_.platform().answers(number);
}

void configuration_checker::check() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        check_instance(each, fleet_.standing(each));
    }
    std::vector<bool> done(instances_.size(), false);
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (done[each]) {
            continue;
        }
        const auto partition = fleet_.reached_by(each);
        const bool readable =
            std::any_of(partition.begin(), partition.end(),
                        [this](unsigned member) { return can_read(member); });
        check_contact(each, partition.size() > 1, readable);
        for (const auto member : partition) {
            check_contact(member, partition.size() > 1, readable);
            done[member] = true;
        }
    }
}

void configuration_checker::check_instance(unsigned number,
                                           const instance_standing& seen) {
    auto& known = instances_[number];
    if (!seen.running || seen.life != known.life) {
        known = {};
        known.life = seen.life;
    }
    if (!seen.running || seen.frozen) {
        known.up_since.reset();
        return;
    }
    known.up_since = known.up_since ? known.up_since : fleet_.now();
    if (seen.revision < known.revision) {
        record_violation(number, "went back from revision " +
                                     std::to_string(known.revision) + " to " +
                                     std::to_string(seen.revision));
    }
    known.revision = seen.revision;
    if (seen.introduced && !known.introduced &&
        seen.revision < known.announced) {
        record_violation(number, "introduced at revision " +
                                     std::to_string(seen.revision) +
                                     " although peers had announced " +
                                     std::to_string(known.announced));
    }
    known.introduced = seen.introduced;
    known.announced = seen.named;
}

void configuration_checker::check_contact(unsigned number, bool linked,
                                          bool readable) {
    auto& known = instances_[number];
    if (!known.up_since || !linked || !readable) {
        known.in_contact_since.reset();
        return;
    }
    known.in_contact_since =
        known.in_contact_since ? known.in_contact_since : fleet_.now();
    if (fleet_.now() - *known.in_contact_since >= min_contact_time) {
        check_delay(number, known.revision);
    }
}

void configuration_checker::check_delay(unsigned number,
                                        std::uint64_t revision) {
    const auto behind = fleet_.platform().age_of_next(revision);
    const auto allowed =
        max_configuration_delay + fleet_.platform().oldest_word();
    if (allowed == max_configuration_delay) {
        longest_delay_ = std::max(longest_delay_, behind);
    }
    if (behind > allowed) {
        record_violation(
            number, "configuration outdated for " +
                        std::to_string(behind / std::chrono::milliseconds(1)) +
                        " ms: revision " + std::to_string(revision) +
                        " in force, " +
                        std::to_string(fleet_.published_configuration()) +
                        " published");
    }
}

void configuration_checker::record_violation(unsigned number,
                                             const std::string& what) {
    if (!violation_) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            fleet_.now().time_since_epoch() - std::chrono::hours(1));
        violation_ = "instance " + std::to_string(number) + " at " +
                     std::to_string(at.count()) + " ms: " + what;
    }
}

} // namespace waxwingvale
