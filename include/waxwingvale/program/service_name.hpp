#pragma once

// The names under which the parts of a program find each other in its
// service_registry.
namespace waxwingvale::program::service_name {

constexpr const char* timers = "timers";           // kernel::timer_service
constexpr const char* bus = "bus";                 // kernel::message_bus
constexpr const char* peers = "peers";             // io::message_hub
constexpr const char* backend_client = "backends"; // io::http_client

} // namespace waxwingvale::program::service_name
