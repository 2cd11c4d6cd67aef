#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/member.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::program {

// Which entry instance this is, where it listens and what its machine can do.
struct instance_settings {
    std::string name;
    std::string data_centre;
    std::string host; // IP number
    member_capacity capacity;
    duration drain_timeout{}; // most time for requests in flight to finish
    duration leave_notice{};  // callers are still taken so long while it leaves
    std::optional<std::uint16_t> metrics_port; // none: not served
    // Where it is asked whether it is ready; none: not served.
    std::optional<std::uint16_t> ready_port;
    std::size_t memory_mb = 0; // that this process may take, millions of bytes
    // Descriptors that it may have open; 0: as many as the system grants.
    std::size_t descriptors = 0;
    std::size_t descriptors_for_files = 0; // of these, not for sockets
};

// Where the platform's service of values is read.
struct platform_settings {
    std::string host; // IP number
    std::uint16_t port = 0;
    // Reads a second that it answers, over all readers.
    double reads_per_second = 0;
    // Entry instances that read it for all; 0: each for itself.
    unsigned readers = 0;
    duration watch{};         // longest wait for a change
    duration answer_within{}; // beyond which it counts as lost
};

// Another entry instance, asked before any other is known.
struct seed_settings {
    std::string host; // IP number
    std::uint16_t control_port = 0;
};

// How entry instances find and prove themselves to one another.
struct peer_settings {
    std::string shared_key;      // same on all entry instances
    std::string shared_key_file; // where load_settings() reads it instead
    std::vector<seed_settings> seeds;
};

// The request path. Ports may be 0: any free one, told by the ready line.
struct entry_settings {
    std::uint16_t caller_port = 0;
    // Where partitioned instances hand requests on: the first port of these
    // that is free, or any if they are 0.
    std::uint16_t first_detour_port = 0;
    std::uint16_t last_detour_port = 0;
    std::size_t body_limit = 0; // bytes of a caller's or a backend's body
    unsigned connection_limit = 0;
};

// Telling callers which address to use.
struct steer_settings {
    std::uint16_t steer_port = 0;
    unsigned connection_limit = 0;
    duration keep{}; // callers keep an answer so long, where the configuration
                     // does not say
};

// What holds for every service where the configuration has no budgets and
// names no data centres.
struct deployment_settings {
    std::vector<data_centre> data_centres;
    service_budgets budgets;
    unsigned owners = 0; // of the slots of each service; 0: derived
    // A cold backend server may get so many times the requests in a second that
    // its service names, and so many more.
    double cold_overage = 1;
    double cold_slack = 0;
};

// What instances know together, and the administration API.
struct control_settings {
    std::uint16_t control_port = 0;
    bool administration = true; // false: no administration API is served
    std::uint16_t admin_port = 0;
    std::string admin_host;       // IP number
    std::string admin_token;      // bearer token
    std::string admin_token_file; // where load_settings() reads it instead
};

// One settings file serves one entry instance.
struct settings {
    instance_settings instance;
    platform_settings platform;
    peer_settings peers;
    entry_settings entry;
    steer_settings steer;
    control_settings control;
    deployment_settings deployment;
};

// Most bytes of a settings file.
constexpr std::size_t settings_size_limit = 256 * 1024;

// Reads settings, JSON with comments. All problems are found; the error is the
// first. Files that hold secrets are named but not opened.
result<settings> parse_settings(std::string_view text,
                                std::string_view file_name);

// All that is wrong with a settings file; empty when it would be accepted.
std::vector<error> check_settings(std::string_view text,
                                  std::string_view file_name);

// Reads a settings file and the files it names for its secrets.
result<settings> load_settings(const std::string& file_name);

// A file's bytes, at most `limit`; the error names the file.
result<std::string> read_file(const std::string& file_name, std::size_t limit);

} // namespace waxwingvale::program
