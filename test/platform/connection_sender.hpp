#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <sys/types.h>

namespace waxwingvale::platform {

// Which of the processes opened the connection that reaches `server_port` from
// `sender_port`, both on 127.0.0.1; their place in the list. All connections of
// this machine have the same address, so that only the system knows.
std::optional<std::size_t>
sender_of_connection(std::uint16_t sender_port, std::uint16_t server_port,
                     const std::vector<pid_t>& processes);

} // namespace waxwingvale::platform
