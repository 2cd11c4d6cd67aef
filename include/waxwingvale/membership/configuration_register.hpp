#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::membership {

// What became of a configuration file that was offered.
enum class offer_outcome {
    accepted,   // valid and newer: in force from now on
    refused,    // newer, but not valid: the one before stays in force
    known,      // was offered before
    older,      // older than the one in force
    conflicting // another file was seen under the same revision
};

// A newer file that was not taken, and the first thing wrong with it.
struct refused_configuration {
    std::uint64_t revision = 0;
    error reason;

    friend bool operator==(const refused_configuration& a,
                           const refused_configuration& b) {
        return a.revision == b.revision && a.reason == b.reason;
    }
};

// Decides which of two revisions is to be in force.
class configuration_precedence {
public:
    virtual ~configuration_precedence() = default;
    virtual bool replaces(std::uint64_t candidate,
                          std::uint64_t in_force) const = 0;
};

// The rule in use: only a larger revision replaces.
class newest_revision_wins : public configuration_precedence {
public:
    bool replaces(std::uint64_t candidate,
                  std::uint64_t in_force) const override {
        return candidate > in_force;
    }
};

struct configuration_counters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t older = 0;
    std::uint64_t conflicting = 0;
};

// Fences the configuration: whoever offers a file, and in whatever order, the
// largest valid revision ever offered is in force. A platform that comes back
// older, a reader that lags or a peer that slept cannot take it back.
class configuration_register {
public:
    using validator =
        std::function<result<configuration>(const configuration_text&)>;

    explicit configuration_register(validator validate);
    configuration_register(
        validator validate,
        std::shared_ptr<const configuration_precedence> precedence);

    offer_outcome offer(const configuration_text& file);

    // Null, and revision 0, until a first file was accepted.
    configuration_ptr in_force() const { return in_force_; }
    const configuration_text& published() const { return published_; }
    std::uint64_t revision() const { return published_.revision; }
    // The newest file that was refused, while it is newer than the one in
    // force.
    const std::optional<refused_configuration>& refused() const {
        return refused_;
    }
    // Its revision, or 0.
    std::uint64_t refused_revision() const;
    const configuration_text& refused_file() const { return refused_file_; }
    const configuration_counters& counters() const { return counters_; }

private:
    offer_outcome compare_known(const configuration_text& known,
                                const configuration_text& file);

    validator validate_;
    std::shared_ptr<const configuration_precedence> precedence_;
    configuration_ptr in_force_;
    configuration_text published_;
    configuration_text refused_file_;
    std::optional<refused_configuration> refused_;
    configuration_counters counters_;
};

} // namespace waxwingvale::membership
