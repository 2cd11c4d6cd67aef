#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include <waxwingvale/program/program_frame.hpp>

namespace waxwingvale::ctl {

using program::exit_code;

// Where a command writes: what was asked for, and what went wrong.
struct command_output {
    std::ostream& out;
    std::ostream& err;
};

// Where one administration API listens.
struct admin_address {
    std::string host; // IP number
    std::uint16_t port = 0;
};

std::string to_string(const admin_address& address);

// What the command line says; fields that a command lacks are empty.
struct command_options {
    std::vector<std::string> files;
    std::string request; // its id, as callers name it
    std::vector<admin_address> admins;
    std::string token;
    std::string service;
    std::string method;
    std::string path;
    std::string tenant;
    bool as_json = false;
    std::uint64_t interval_ms = 0;
    std::uint64_t count = 0; // 0: without end
};

} // namespace waxwingvale::ctl
