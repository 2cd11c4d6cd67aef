#pragma once

#include <nlohmann/json_fwd.hpp>

#include <waxwingvale/decision/scheduler_events.hpp>

namespace waxwingvale::replay {

// A view as one JSON object: the service of its owners, its tenants, members
// and beliefs. Owners follow from service and members.
nlohmann::json encode_view(const decision::view_changed& event);

// The reverse. Throws nlohmann's exception when a field is missing or wrong.
decision::scheduler_event decode_view(const nlohmann::json& from);

} // namespace waxwingvale::replay
