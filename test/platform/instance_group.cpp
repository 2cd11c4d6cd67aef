#include "platform/instance_group.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingvale::platform {

instance_group::instance_group(std::size_t count,
                               std::vector<std::string> zones,
                               std::uint16_t store_port, nlohmann::json budgets,
                               std::string program)
    : zones_(std::move(zones)),
      store_port_(store_port),
      budgets_(std::move(budgets)),
      program_(std::move(program)),
      ports_(count) {}

void instance_group::start() {
    for (std::size_t each = 0; each < ports_.size(); ++each) {
        processes_.push_back(launch_and_await(each));
    }
}

void instance_group::start_while(const std::function<void()>& meanwhile) {
    processes_.clear();
    for (std::size_t each = 0; each < ports_.size(); ++each) {
        processes_.push_back(launch(each));
    }
    auto all_ready = std::async(std::launch::async, [this] {
        for (const auto& each : processes_) {
            each->read_ready();
        }
    });
    while (all_ready.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
        meanwhile();
    }
    all_ready.get();
}

void instance_group::restart(std::size_t number) {
    processes_.at(number)->kill();
    processes_.at(number) = launch_and_await(number);
}

void instance_group::start_again(std::size_t number) {
    processes_.at(number) = launch(number);
}

void instance_group::fail_connects(std::size_t number, int error_number,
                                   const std::vector<std::uint16_t>& to) {
    auto text = std::to_string(error_number);
    for (const auto port : to) {
        text += " " + std::to_string(port);
    }
    const auto name = std::to_string(number) + ".json.connects";
    const auto written = folder_.write(name + ".new", text);
    std::filesystem::rename(written, folder_.file(name));
}

std::string instance_group::settings_of(std::size_t number) const {
    constexpr std::size_t most_seeds = 2;
    auto seeds = nlohmann::json::array();
    for (std::size_t each = 0; each < std::min(most_seeds, size()); ++each) {
        seeds.push_back(
            {{"host", "127.0.0.1"}, {"control_port", ports_[each].control}});
    }
    auto data_centres = nlohmann::json::array();
    for (const auto& zone : zones_) {
        data_centres.push_back({{"name", zone}, {"region", "region-" + zone}});
    }
    nlohmann::json deployment = {{"data_centres", data_centres}, {"owners", 1}};
    deployment.update(budgets_.is_null() ? nlohmann::json::object() : budgets_);
    const auto found = cpu_shares_.find(number);
    const double cpu_share = found == cpu_shares_.end() ? 1 : found->second;
    return nlohmann::json{
        {"settings_version", 2},
        {"instance",
         {{"name", "node-" + std::to_string(number)},
          {"data_centre", zones_[number % zones_.size()]},
          {"host", "127.0.0.1"},
          {"cpu_share", cpu_share},
          {"metrics_port", ports_[number].metrics}}},
        {"platform",
         {{"host", "127.0.0.1"},
          {"port", store_port_},
          {"readers", 1},
          {"watch_ms", 600},
          {"answer_within_ms", 400}}},
        {"peers",
         {{"shared_key", "a key for tests only, 32 bytes.."},
          {"seeds", seeds}}},
        {"entry", {{"caller_port", ports_[number].caller}}},
        {"steer", {{"steer_port", ports_[number].directory}}},
        {"control",
         {{"control_port", ports_[number].control}, {"administration", false}}},
        {"deployment", deployment}}
        .dump();
}

std::unique_ptr<standin::child_process>
instance_group::launch(std::size_t number) {
    const auto file =
        folder_.write(std::to_string(number) + ".json", settings_of(number));
    return std::make_unique<standin::child_process>(
        program_, std::vector<std::string>{"--settings=" + file});
}

std::unique_ptr<standin::child_process>
instance_group::launch_and_await(std::size_t number) {
    auto launched = launch(number);
    launched->read_ready();
    return launched;
}

} // namespace waxwingvale::platform
