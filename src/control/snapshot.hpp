#pragma once

#include "control/knowledge.hpp"
#include "control/view_publisher.hpp"
#include <waxwingvale/administration/control_snapshot.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/platform_client.hpp>

namespace waxwingvale::control {

// What the administration API shows of this process now.
administration::control_snapshot
take_snapshot(const knowledge& known, const view_publisher& views,
              const io::message_hub& hub, const io::platform_client& platform,
              time_point now);

} // namespace waxwingvale::control
