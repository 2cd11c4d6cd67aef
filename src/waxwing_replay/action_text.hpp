#pragma once

#include <string>

#include <waxwingvale/decision/scheduler_actions.hpp>

namespace waxwingvale::replay {

// An action as one line of text, for digests.
std::string action_text(const decision::scheduler_action& action);

} // namespace waxwingvale::replay
