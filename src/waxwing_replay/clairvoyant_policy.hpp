#pragma once

#include <memory>

#include "waxwing_replay/routing_policy.hpp"

namespace waxwingvale::replay {

// One queue in front of all slots that knows what nobody can know: how long
// each call will take, and the pace of each server at the moment. It uses no
// more slots of a server than do the most work, starts what is worth most for
// the slot's time and still comes in time, and gives what is left to late
// calls. What it answers in time is near the most that can be had.
std::unique_ptr<routing_policy> make_clairvoyant_policy();

// The same, but of a call's work it knows only what its class takes on average:
// near the most that can be had by whoever asks the servers all the time.
std::unique_ptr<routing_policy> make_informed_policy();

} // namespace waxwingvale::replay
