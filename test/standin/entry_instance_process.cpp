#include <csignal>
#include <utility>

#include "standin/fleet.hpp"

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

const std::string admin_token = "a token for tests only";

} // namespace

entry_instance_process::entry_instance_process(std::string name,
                                               std::string data_centre,
                                               std::uint16_t platform_port,
                                               const temporary_folder& folder,
                                               const json& instance_settings)
    : name_(std::move(name)), data_centre_(std::move(data_centre)) {
    json settings = {
        {"settings_version", 2},
        {"instance",
         {{"name", name_},
          {"data_centre", data_centre_},
          {"host", "127.0.0.1"}}},
        {"platform", {{"host", "127.0.0.1"}, {"port", platform_port}}},
        {"peers", {{"shared_key", "a key for tests only, 32 bytes.."}}},
        {"entry", {{"caller_port", caller_port_}}},
        {"steer", {{"steer_port", steer_port_}}},
        {"control",
         {{"control_port", control_port_},
          {"admin_port", admin_port_},
          {"admin_token", admin_token}}}};
    settings["instance"].update(instance_settings);
    settings_file_ = folder.write(name_ + ".json", settings.dump(2));
}

void entry_instance_process::start() {
    process_ = std::make_unique<child_process>(
        "waxwing-node",
        std::vector<std::string>{"--settings=" + settings_file_});
    process_->read_ready();
}

std::optional<int> entry_instance_process::stop() {
    process_->signal(SIGTERM);
    return process_->wait();
}

json entry_instance_process::listed(const std::string& state) const {
    return {{"name", name_},
            {"data_centre", data_centre_},
            {"host", "127.0.0.1"},
            {"caller_port", caller_port_},
            {"steer_port", steer_port_},
            {"control_port", listed_control_port_},
            {"state", state}};
}

void entry_instance_process::list_peer_port(std::uint16_t control) {
    listed_control_port_ = control;
}

json entry_instance_process::admin(const std::string& path) const {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = admin_port_;
    call.target = path;
    call.headers = {{"Authorization", "Bearer " + admin_token}};
    const auto body = body_of(http_request_once(std::move(call)));
    return body.empty() ? json() : json::parse(body);
}

std::uint64_t entry_instance_process::revision_in_force() const {
    const auto status = admin("/v1/status");
    return status.is_null() ? 0
                            : status.at("configuration")
                                  .at("revision_in_force")
                                  .get<std::uint64_t>();
}

} // namespace waxwingvale::standin
