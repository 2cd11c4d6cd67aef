#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/decision/scheduler_actions.hpp>
#include <waxwingvale/decision/scheduler_events.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::entry {

// The kind under which grant messages travel between entry processes.
constexpr const char* grant_kind = "grant";

// A scheduler's action that is meant for a peer's scheduler of that service.
struct outgoing_grant_message {
    std::string service;
    std::variant<decision::ask_slots, decision::answer_ask,
                 decision::give_grant, decision::return_grant,
                 decision::ask_repeats, decision::give_repeats>
        action;
};

// The same as the peer's scheduler gets it.
struct incoming_grant_message {
    std::string service;
    decision::scheduler_event event;
};

// To whom a message goes: a member name.
const std::string& peer_of(const outgoing_grant_message& message);

std::vector<std::uint8_t> encode(const outgoing_grant_message& message);

// Fails with malformed; `peer` is the member it came from.
result<incoming_grant_message>
decode_grant_message(const std::string& peer,
                     const std::vector<std::uint8_t>& bytes);

} // namespace waxwingvale::entry
