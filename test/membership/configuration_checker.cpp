#include "configuration_checker.hpp"

#include <algorithm>

namespace waxwingvale {

namespace {

// Bounds hold for an instance that has run, and had somebody who can read the
// platform, for so long.
constexpr duration contact = std::chrono::seconds(3);
constexpr duration in_force_within = std::chrono::seconds(2);

} // namespace

configuration_checker::configuration_checker(const fleet_simulation& fleet)
    : fleet_(fleet), instances_(fleet.instances()) {}

bool configuration_checker::can_read(unsigned number) const {
    const auto& up = instances_[number].up_since;
    return up && fleet_.now() - *up >= contact &&
           fleet_.platform().answers(number);
}

void configuration_checker::look() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        look_at(each, fleet_.standing(each));
    }
    std::vector<bool> done(instances_.size(), false);
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (done[each]) {
            continue;
        }
        const auto part = fleet_.reached_by(each);
        const bool readable =
            std::any_of(part.begin(), part.end(),
                        [this](unsigned one) { return can_read(one); });
        look_at_touch(each, part.size() > 1, readable);
        for (const auto one : part) {
            look_at_touch(one, part.size() > 1, readable);
            done[one] = true;
        }
    }
}

void configuration_checker::look_at(unsigned number,
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
        tell(number, "went back to " + std::to_string(seen.revision));
    }
    known.revision = seen.revision;
    if (seen.introduced && !known.introduced && seen.revision < known.named) {
        tell(number, "introduced at " + std::to_string(seen.revision) +
                         ", named " + std::to_string(known.named));
    }
    known.introduced = seen.introduced;
    known.named = seen.named;
}

void configuration_checker::look_at_touch(unsigned number, bool linked,
                                          bool readable) {
    auto& known = instances_[number];
    if (!known.up_since || !linked || !readable) {
        known.in_touch_since.reset();
        return;
    }
    known.in_touch_since =
        known.in_touch_since ? known.in_touch_since : fleet_.now();
    if (fleet_.now() - *known.in_touch_since >= contact) {
        look_at_age(number, known.revision);
    }
}

void configuration_checker::look_at_age(unsigned number,
                                        std::uint64_t revision) {
    const auto behind = fleet_.platform().age_of_next(revision);
    const auto allowed = in_force_within + fleet_.platform().oldest_word();
    if (allowed == in_force_within) {
        most_behind_ = std::max(most_behind_, behind);
    }
    if (behind > allowed) {
        tell(number, "behind for " +
                         std::to_string(behind / std::chrono::milliseconds(1)) +
                         " ms at " + std::to_string(revision) + " of " +
                         std::to_string(fleet_.published_configuration()));
    }
}

void configuration_checker::tell(unsigned number, const std::string& what) {
    if (!violation_) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            fleet_.now().time_since_epoch() - std::chrono::hours(1));
        violation_ = "instance " + std::to_string(number) + " at " +
                     std::to_string(at.count()) + " ms: " + what;
    }
}

} // namespace waxwingvale
