#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::load {

// Where something listens.
struct endpoint {
    std::string host; // IP number
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b) {
        return a.host == b.host && a.port == b.port;
    }
};

// How the sends are laid out in time.
enum class schedule_kind {
    fixed,   // evenly
    poisson, // independent of each other at the same mean rate
    burst    // every caller at once, again and again
};

// All that one run does; bounded in count and in time.
struct load_options {
    std::vector<endpoint> steers;
    std::vector<endpoint> direct;
    std::string service;
    std::string read_path;
    std::string write_path;
    double write_fraction = 0;
    std::string tenant;
    std::string data_centre;
    std::size_t body_bytes = 0; // of at-most-once calls
    std::size_t callers = 1;
    schedule_kind schedule = schedule_kind::poisson;
    double rate = 0; // calls a second, all callers together
    duration burst_period{};
    std::uint64_t calls = 0;
    duration length{};
    duration deadline{};
    unsigned attempts = 1;
    std::size_t open_limit = 0; // calls in flight; more are not sent
    std::uint64_t seed = 0;
    bool expect_echo = false; // answers must name their request
    bool json = false;
    bool allow_non_loopback = false;
    std::string history_file;
};

// The usage text, which docopt reads.
extern const char* const load_usage;

// Reads the options that docopt parsed. Fails with invalid_argument, naming
// the option and what was expected.
result<load_options>
read_load_options(const std::map<std::string, docopt::value>& given);

// Refuses addresses off this machine unless they were allowed: load must not
// reach others by a slip.
result<void> check_address(const load_options& options, const endpoint& to);

} // namespace waxwingvale::load
