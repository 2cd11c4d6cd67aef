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

const configuration_text*
configuration_register::same_revision(const configuration_text& file) const {
    if (file.revision == file_in_force_.revision) {
        return &file_in_force_;
    }
    const bool as_refused = refused_ && file.revision == refused_file_.revision;
    return as_refused ? &refused_file_ : nullptr;
}

bool configuration_register::is_new(const configuration_text& file) const {
    return same_revision(file) == nullptr &&
           precedence_->replaces(file.revision, file_in_force_.revision);
}

// Two different files with the same revision cannot be ordered. If the later
// one replaced the first, instances could disagree permanently and behave
// differently at equal revisions. The first stays, and the other is counted.
offer_outcome
configuration_register::pass_over(const configuration_text& file) {
    const auto* known = same_revision(file);
    if (known == nullptr) {
        ++counters_.older;
        return offer_outcome::older;
    }
    if (known->text == file.text) {
        return offer_outcome::duplicate;
    }
    ++counters_.conflicting;
    return offer_outcome::conflicting;
}

offer_outcome configuration_register::offer(const configuration_text& file) {
    return is_new(file) ? offer(file, validate_(file)) : pass_over(file);
}

offer_outcome configuration_register::offer(const configuration_text& file,
                                            result<configuration> read) {
    if (!is_new(file)) {
        return pass_over(file);
    }
    if (!read) {
        ++counters_.refused;
        if (!refused_ || file.revision > refused_->revision) {
            refused_file_ = file;
            refused_ = refused_configuration{file.revision, read.error()};
        }
        return offer_outcome::refused;
    }
    in_force_ = std::make_shared<const configuration>(std::move(read.value()));
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

} // namespace waxwingvale::membership
