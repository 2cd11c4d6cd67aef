#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::program {

// Which entry instance this is, and where its programs listen.
struct instance_settings {
    std::string name;
    std::string data_centre;
    std::string host; // IP number
};

// Where the platform's service of values is read.
struct platform_settings {
    std::string host; // IP number
    std::uint16_t port = 0;
};

// Another entry instance's waxwing-control, asked before the platform's list
// of instances is known.
struct seed_settings {
    std::string name; // entry instance
    std::string host; // IP number
    std::uint16_t control_port = 0;
};

// How the system's own processes find and prove themselves to one another.
struct peer_settings {
    std::string shared_key;      // same on all entry instances
    std::string shared_key_file; // where load_settings() reads it instead
    std::vector<seed_settings> seeds;
};

// waxwing-entry. Ports may be 0: any free one, told by the ready line.
struct entry_settings {
    std::uint16_t caller_port = 0;
    std::uint16_t entry_port = 0;
    std::size_t body_limit = 0; // bytes of a caller's or a backend's body
    unsigned connection_limit = 0;
    duration drain_timeout{}; // most time for requests in flight to finish
    std::optional<std::uint16_t> metrics_port; // none: not served
};

// waxwing-steer.
struct steer_settings {
    std::uint16_t steer_port = 0;
    unsigned connection_limit = 0;
    duration drain_timeout{};
    std::optional<std::uint16_t> metrics_port;
};

// waxwing-control. Its metrics are served by the administration API.
struct control_settings {
    std::uint16_t control_port = 0;
    std::uint16_t admin_port = 0;
    std::string admin_host;       // IP number
    std::string admin_token;      // bearer token
    std::string admin_token_file; // where load_settings() reads it instead
    duration drain_timeout{};
};

// One settings file serves the three programs of an entry instance.
struct settings {
    instance_settings instance;
    platform_settings platform;
    peer_settings peers;
    entry_settings entry;
    steer_settings steer;
    control_settings control;
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
