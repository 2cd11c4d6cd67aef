#pragma once

#include <optional>

#include <waxwingvale/model/time.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::membership {

// What an instance knows of how new the configuration is that it has in force.
struct configuration_signs {
    // The age of the newest word of the discovery platform; empty: none yet.
    std::optional<duration> word_age;
    // How long a newer configuration has been known of; empty: none is known.
    std::optional<duration> behind_for;
    // The process was stopped a moment ago, so that much may have changed.
    bool woke_recently = false;
    // The time since it was last known to be the newest; empty: never yet.
    std::optional<duration> proof_age;
    // The time since a late wake-up after which neither the platform nor a peer
    // has answered yet; empty: one has.
    std::optional<duration> unheard_for;
    // The process is stopped again and again, so that word comes late.
    bool runs_late = false;
    // The platform answers this instance.
    bool platform_answers = true;
};

// Decides what is proved of a configuration in force. Word of the platform that
// is older than `max_word_age` proves nothing: a newer configuration may be in
// force elsewhere by now.
configuration_standing standing_of(const configuration_signs& signs,
                                   duration max_word_age);

// Decides whether requests may be run by the routes of the configuration in
// force. They may if it was the newest `max_word_age` ago or later, whatever
// has been heard since: a change may take so long. Else they may if nothing
// newer is known of and the platform is away, also if nobody else can be heard;
// but not where this process may have slept through a change and will hear of
// it at once.
bool routes_hold(const configuration_signs& signs, duration max_word_age);

// The `max_word_age` of an instance that reads the platform by watches of that
// length, each answered within `answer_within` after its end.
duration max_word_age_for(duration watch, duration answer_within);

} // namespace waxwingvale::membership
