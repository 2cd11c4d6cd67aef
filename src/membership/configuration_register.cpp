#include <waxwingvale/membership/configuration_register.hpp>

#include <utility>

namespace waxwingvale::membership {

configuration_register::configuration_register(validator validate)
    : configuration_register(std::move(validate),
                             std::make_shared<newest_revision_wins>()) {}

configuration_register::configuration_register(
    validator validate,
    std::shared_ptr<const configuration_precedence> precedence)
    : validate_(std::move(validate)), precedence_(std::move(precedence)) {}

offer_outcome configuration_register::offer(const configuration_text& file) {
    if (file.revision == file_in_force_.revision) {
        return compare_same_revision(file_in_force_, file);
    }
    if (refused_ && file.revision == refused_file_.revision) {
        return compare_same_revision(refused_file_, file);
    }
    if (!precedence_->replaces(file.revision, file_in_force_.revision)) {
        ++counters_.older;
        return offer_outcome::older;
    }
    auto parsed = validate_(file);
    if (!parsed) {
        ++counters_.refused;
        if (!refused_ || file.revision > refused_->revision) {
            refused_file_ = file;
            refused_ = refused_configuration{file.revision, parsed.error()};
        }
        return offer_outcome::refused;
    }
    in_force_ =
        std::make_shared<const configuration>(std::move(parsed.value()));
    file_in_force_ = file;
    if (refused_ && refused_->revision < file_in_force_.revision) {
        refused_.reset();
        refused_file_ = {};
    }
    ++counters_.accepted;
    return offer_outcome::accepted;
}

std::uint64_t configuration_register::refused_revision() const {
    return refused_ ? refused_->revision : 0;
}

// Two different files with the same revision cannot be ordered. If the later
// one replaced the first, instances could disagree permanently and behave
// differently at equal revisions. The first stays, and the other is counted.
offer_outcome
configuration_register::compare_same_revision(const configuration_text& known,
                                              const configuration_text& file) {
    if (known.text == file.text) {
        return offer_outcome::duplicate;
    }
    ++counters_.conflicting;
    return offer_outcome::conflicting;
}

} // namespace waxwingvale::membership
