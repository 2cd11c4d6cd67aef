#include <waxwingvale/program/settings.hpp>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <memory>
#include <utility>

#include "model/document_reader.hpp"

namespace waxwingvale::program {

namespace {

using namespace std::chrono_literals;

constexpr unsigned settings_version = 2;
constexpr number_range listen_port_range{0, 65535}; // 0: any free port
constexpr number_range peer_port_range{1, 65535};
constexpr number_range seed_count{0, 64};
constexpr number_range body_range{1, 256 * 1024 * 1024}; // bytes
constexpr number_range connection_range{1, 100'000};
constexpr number_range drain_range{0, 3'600'000};    // ms
constexpr number_range notice_range{0, 60'000};      // ms
constexpr fraction_range cores_range{0.001, 1000.};  // times a usual core
constexpr fraction_range share_range{0.001, 1000.};  // of them
constexpr number_range memory_range{16, 16'000'000}; // MB
constexpr number_range descriptor_range{128, 10'000'000};
constexpr number_range file_range{0, 1'000'000};   // descriptors
constexpr number_range owner_range{0, 64};         // of one service
constexpr number_range link_range{1, 1'000'000};   // Mbit/s
constexpr number_range reads_range{1, 1'000'000};  // a second
constexpr number_range reader_range{0, 1000};      // entry instances
constexpr number_range watch_range{50, 60'000};    // ms
constexpr number_range keep_range{100, 3'600'000}; // ms
constexpr number_range data_centre_count{0, 256};
constexpr fraction_range budget_range{0., 1.};      // of first attempts
constexpr number_range window_range{100, 600'000};  // ms
constexpr fraction_range extra_range{0., 100'000.}; // attempts
constexpr fraction_range overage_range{0., 1000.};
constexpr fraction_range slack_range{0., 100'000.}; // requests a second
constexpr fraction_range probe_range{0., 1000.};    // a second and server

constexpr std::size_t default_body_limit = 16 * 1024 * 1024; // bytes
constexpr unsigned default_connection_limit = 8192;
constexpr std::size_t default_memory_mb = 1024;
constexpr duration default_drain_timeout = 30s;
constexpr std::uint64_t default_reads_per_second = 2000;
constexpr duration default_watch = 10s;
constexpr duration default_answer_within = 3s;
constexpr duration default_keep = 5s;
constexpr std::size_t fewest_sockets = 128;
constexpr std::size_t secret_least = 16;             // characters
constexpr std::size_t secret_file_limit = 64 * 1024; // bytes

// A secret stands in the file or in a file that it names, not in both.
struct secret_fields {
    const char* value;
    const char* file;
};

constexpr secret_fields shared_key_fields{"shared_key", "shared_key_file"};
constexpr secret_fields admin_token_fields{"admin_token", "admin_token_file"};

void read_secret(object_reader& reader, const secret_fields& fields,
                 std::string& value, std::string& file) {
    value = reader.text_or(fields.value, "");
    file = reader.text_or(fields.file, "");
    const bool both = reader.has(fields.value) && reader.has(fields.file);
    const bool none = !reader.has(fields.value) && !reader.has(fields.file);
    if (both || none) {
        reader.complain(fields.value, std::string("expected either this or ") +
                                          fields.file + ", found " +
                                          (both ? "both" : "neither"));
    }
    if (!value.empty() && value.size() < secret_least) {
        reader.complain(fields.value, "expected at least " +
                                          std::to_string(secret_least) +
                                          " characters");
    }
}

// A port at the instance's host, or the whole address under another name: what
// fills in settings may know only one of the two forms.
struct listen_fields {
    const char* port;
    const char* address;
};

constexpr listen_fields caller_fields{"caller_port", "caller_address"};
constexpr listen_fields steer_fields{"steer_port", "steer_address"};
constexpr listen_fields control_fields{"control_port", "control_address"};
constexpr listen_fields ready_fields{"ready_port", "ready_address"};

std::uint16_t listen_port(object_reader& reader, const char* field) {
    return static_cast<std::uint16_t>(
        reader.number_or(field, listen_port_range, 0));
}

std::uint16_t listen_port(object_reader& reader, const listen_fields& fields) {
    return reader.has(fields.address) ? reader.endpoint(fields.address).port
                                      : listen_port(reader, fields.port);
}

std::optional<std::uint16_t> metrics_port(object_reader& reader) {
    if (!reader.has("metrics_port")) {
        return std::nullopt;
    }
    return listen_port(reader, "metrics_port");
}

std::optional<std::uint16_t> ready_port(object_reader& reader) {
    if (!reader.has(ready_fields.port) && !reader.has(ready_fields.address)) {
        return std::nullopt;
    }
    return listen_port(reader, ready_fields);
}

unsigned connection_limit(object_reader& reader) {
    return static_cast<unsigned>(reader.number_or(
        "connection_limit", connection_range, default_connection_limit));
}

instance_settings read_instance(object_reader reader) {
    instance_settings read;
    read.name = reader.name("name");
    read.data_centre = reader.name("data_centre");
    read.host = reader.ip_number("host");
    const member_capacity usual;
    const auto cores = reader.fraction_or("cpu_cores", cores_range, 1) *
                       reader.fraction_or("cpu_share", share_range, 1);
    read.capacity.cpu_permille =
        static_cast<unsigned>(std::lround(cores * usual.cpu_permille));
    read.capacity.link_mbps = static_cast<unsigned>(
        reader.number_or("link_mbps", link_range, usual.link_mbps));
    read.drain_timeout = reader.milliseconds_or("drain_timeout_ms", drain_range,
                                                default_drain_timeout);
    read.leave_notice = reader.milliseconds_or("leave_notice_ms", notice_range,
                                               duration::zero());
    read.metrics_port = metrics_port(reader);
    read.ready_port = ready_port(reader);
    read.memory_mb =
        reader.number_or("memory_mb", memory_range, default_memory_mb);
    read.descriptors = reader.number_or("descriptors", descriptor_range, 0);
    read.descriptors_for_files =
        reader.number_or("descriptors_for_files", file_range, 0);
    if (read.descriptors != 0 &&
        read.descriptors < read.descriptors_for_files + fewest_sockets) {
        reader.complain("descriptors",
                        "expected at least descriptors_for_files and " +
                            std::to_string(fewest_sockets));
    }
    reader.finish();
    return read;
}

// An address in one field, or in two.
ip_endpoint read_endpoint(object_reader& reader, const char* port_field) {
    if (reader.has("address")) {
        return reader.endpoint("address");
    }
    ip_endpoint read;
    read.host = reader.ip_number("host");
    read.port =
        static_cast<std::uint16_t>(reader.number(port_field, peer_port_range));
    return read;
}

platform_settings read_platform(object_reader reader) {
    platform_settings read;
    const auto at = read_endpoint(reader, "port");
    read.host = at.host;
    read.port = at.port;
    read.reads_per_second = static_cast<double>(reader.number_or(
        "reads_per_second", reads_range, default_reads_per_second));
    read.readers =
        static_cast<unsigned>(reader.number_or("readers", reader_range, 0));
    read.watch = reader.milliseconds_or("watch_ms", watch_range, default_watch);
    read.answer_within = reader.milliseconds_or("answer_within_ms", watch_range,
                                                default_answer_within);
    reader.finish();
    return read;
}

seed_settings read_seed(object_reader reader) {
    const auto at = read_endpoint(reader, "control_port");
    reader.finish();
    return {at.host, at.port};
}

peer_settings read_peers(object_reader reader) {
    peer_settings read;
    read_secret(reader, shared_key_fields, read.shared_key,
                read.shared_key_file);
    for (const auto& seed : reader.objects_or_none("seeds", seed_count)) {
        read.seeds.push_back(read_seed(seed));
    }
    reader.finish();
    return read;
}

entry_settings read_entry(object_reader reader) {
    entry_settings read;
    read.caller_port = listen_port(reader, caller_fields);
    read.first_detour_port = listen_port(reader, "first_detour_port");
    read.last_detour_port = listen_port(reader, "last_detour_port");
    if (read.last_detour_port < read.first_detour_port) {
        reader.complain("last_detour_port",
                        "expected at least first_detour_port");
    }
    read.body_limit =
        reader.number_or("body_limit_bytes", body_range, default_body_limit);
    read.connection_limit = connection_limit(reader);
    reader.finish();
    return read;
}

steer_settings read_steer(object_reader reader) {
    steer_settings read;
    read.steer_port = listen_port(reader, steer_fields);
    read.connection_limit = connection_limit(reader);
    read.keep = reader.milliseconds_or("keep_ms", keep_range, default_keep);
    reader.finish();
    return read;
}

data_centre read_data_centre(object_reader reader) {
    data_centre read;
    read.name = reader.name("name");
    read.region = reader.name("region");
    reader.finish();
    return read;
}

deployment_settings read_deployment(object_reader reader) {
    deployment_settings read;
    for (const auto& each :
         reader.objects_or_none("data_centres", data_centre_count)) {
        read.data_centres.push_back(read_data_centre(each));
    }
    auto& budgets = read.budgets;
    budgets.retries =
        reader.fraction_or("retries", budget_range, budgets.retries);
    budgets.repeats =
        reader.fraction_or("repeats", budget_range, budgets.repeats);
    budgets.repeat_window = reader.milliseconds_or(
        "repeat_window_ms", window_range, budgets.repeat_window);
    // A part of an attempt allows none.
    budgets.repeat_extra = static_cast<unsigned>(
        reader.fraction_or("repeat_extra", extra_range, budgets.repeat_extra));
    budgets.hedges = reader.fraction_or("hedges", budget_range, budgets.hedges);
    budgets.probes =
        reader.fraction_or("probes_per_second", probe_range, budgets.probes);
    read.owners = static_cast<unsigned>(
        reader.number_or("owners", owner_range, read.owners));
    read.cold_overage =
        reader.fraction_or("cold_overage", overage_range, read.cold_overage);
    read.cold_slack =
        reader.fraction_or("cold_slack", slack_range, read.cold_slack);
    reader.finish();
    return read;
}

control_settings read_control(object_reader reader,
                              const std::string& instance_host) {
    control_settings read;
    read.control_port = listen_port(reader, control_fields);
    read.administration = reader.flag_or("administration", true);
    if (read.administration) {
        read.admin_port = listen_port(reader, "admin_port");
        read.admin_host = reader.ip_number_or("admin_host", instance_host);
        read_secret(reader, admin_token_fields, read.admin_token,
                    read.admin_token_file);
    }
    reader.finish();
    return read;
}

settings read_settings(std::string_view text, document_problems& problems) {
    settings read;
    const auto document = parse_document(text, settings_size_limit, problems);
    if (!problems.empty()) {
        return read;
    }
    object_reader file(document, "", problems);
    file.number("settings_version", {settings_version, settings_version});
    read.instance = read_instance(file.object("instance"));
    read.platform = read_platform(file.object("platform"));
    read.peers = read_peers(file.object("peers"));
    read.entry = read_entry(file.object_or_empty("entry"));
    read.steer = read_steer(file.object_or_empty("steer"));
    read.control = read_control(file.object("control"), read.instance.host);
    read.deployment = read_deployment(file.object_or_empty("deployment"));
    file.finish();
    return read;
}

document_problems problems_of(std::string_view file_name) {
    return {"check settings", std::string(file_name)};
}

// Puts the secret that the file holds, less the line's end, into `value`.
result<void> resolve_secret(const std::string& file, std::string& value) {
    if (file.empty()) {
        return success();
    }
    auto text = read_file(file, secret_file_limit);
    if (!text) {
        return text.error();
    }
    value = std::move(text.value());
    while (!value.empty() && (value.back() == '\n' || value.back() == '\r')) {
        value.pop_back();
    }
    if (value.size() < secret_least) {
        return error{error_code::invalid_argument, "read secret", file,
                     "expected at least " + std::to_string(secret_least) +
                         " characters"};
    }
    return success();
}

} // namespace

result<settings> parse_settings(std::string_view text,
                                std::string_view file_name) {
    auto problems = problems_of(file_name);
    auto read = read_settings(text, problems);
    if (!problems.empty()) {
        return problems.errors().front();
    }
    return read;
}

std::vector<error> check_settings(std::string_view text,
                                  std::string_view file_name) {
    auto problems = problems_of(file_name);
    read_settings(text, problems);
    return problems.errors();
}

result<std::string> read_file(const std::string& file_name, std::size_t limit) {
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
        std::fopen(file_name.c_str(), "rb"), std::fclose);
    if (!file) {
        return error{error_code::not_found, "read file", file_name,
                     std::strerror(errno)};
    }
    // One byte more than the limit shows a file that is too large.
    std::string bytes(limit + 1, '\0');
    bytes.resize(std::fread(bytes.data(), 1, bytes.size(), file.get()));
    if (std::ferror(file.get()) != 0) {
        return error{error_code::unavailable, "read file", file_name,
                     std::strerror(errno)};
    }
    if (bytes.size() > limit) {
        return error{error_code::invalid_argument, "read file", file_name,
                     "expected at most " + std::to_string(limit) + " bytes"};
    }
    return bytes;
}

result<settings> load_settings(const std::string& file_name) {
    const auto text = read_file(file_name, settings_size_limit);
    if (!text) {
        return text.error();
    }
    auto read = parse_settings(text.value(), file_name);
    if (!read) {
        return read;
    }
    auto& peers = read.value().peers;
    if (auto got = resolve_secret(peers.shared_key_file, peers.shared_key);
        !got) {
        return got.error();
    }
    auto& control = read.value().control;
    if (auto got =
            resolve_secret(control.admin_token_file, control.admin_token);
        !got) {
        return got.error();
    }
    return read;
}

} // namespace waxwingvale::program
