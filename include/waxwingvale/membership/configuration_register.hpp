#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <waxwingvale/membership/publication_stamp.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::membership {

// The result of offering a configuration file.
enum class offer_outcome {
    accepted,    // valid and newer: in force from now on
    refused,     // newer but invalid: the previous file stays in force
    duplicate,   // the same file as the one in force or the one refused
    older,       // does not replace the file in force, as it is older
    conflicting, // differs from a known file with the same revision
    begun        // long: it is being read, and offered at its end
};

// A newer file that was refused, and the first error found in it.
struct refused_configuration {
    std::uint64_t revision = 0;
    error reason;

    friend bool operator==(const refused_configuration& a,
                           const refused_configuration& b) {
        return a.revision == b.revision && a.reason == b.reason;
    }
};

// Decides whether a candidate revision replaces the one in force.
class configuration_precedence {
public:
    virtual ~configuration_precedence() = default;
    virtual bool replaces(std::uint64_t candidate,
                          std::uint64_t in_force) const = 0;
};

// The rule used in production, that of is_newer(): only a larger revision
// replaces a smaller one. Files have no era, as their revision is the
// operator's own number where the platform's revisions can go back.
class newest_revision_wins : public configuration_precedence {
public:
    bool replaces(std::uint64_t candidate,
                  std::uint64_t in_force) const override {
        return is_newer({candidate, true}, {in_force, true});
    }
};

struct configuration_counters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t older = 0;
    std::uint64_t conflicting = 0;
};

// Fences the configuration: the largest valid revision ever offered is in
// force, regardless of the source and order of the files. Without fencing, a
// discovery platform restored from an old copy, a lagging reader or a peer
// that was paused would put an older configuration in force again.
class configuration_register {
public:
    using validator =
        std::function<result<configuration>(const configuration_text&)>;

    explicit configuration_register(validator validate);
    configuration_register(
        validator validate,
        std::shared_ptr<const configuration_precedence> precedence);

    offer_outcome offer(const configuration_text& file);
    // Whether the outcome of that depends on what the file says.
    bool is_new(const configuration_text& file) const;
    // Offers a file that was read elsewhere, by the same rules.
    offer_outcome offer(const configuration_text& file,
                        result<configuration> read);

    // Null, with revision 0, until a first file has been accepted.
    configuration_ptr in_force() const { return in_force_; }
    const configuration_text& file_in_force() const { return file_in_force_; }
    std::uint64_t revision() const { return file_in_force_.revision; }
    // The newest refused file; empty when none is newer than the file in force.
    const std::optional<refused_configuration>& refused() const {
        return refused_;
    }
    // The revision of the newest refused file, or 0.
    std::uint64_t refused_revision() const;
    const configuration_text& refused_file() const { return refused_file_; }
    const configuration_counters& counters() const { return counters_; }

private:
    const configuration_text*
    same_revision(const configuration_text& file) const;
    offer_outcome pass_over(const configuration_text& file);

    validator validate_;
    std::shared_ptr<const configuration_precedence> precedence_;
    configuration_ptr in_force_;
    configuration_text file_in_force_;
    configuration_text refused_file_;
    std::optional<refused_configuration> refused_;
    configuration_counters counters_;
};

} // namespace waxwingvale::membership
