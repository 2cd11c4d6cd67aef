#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"

namespace waxwingvale::standin {

// One relay before each backend server, which the configuration names in its
// place.
class backend_relays {
public:
    backend_relays(fleet& of, std::size_t servers)
        : configuration_(of.configuration()),
          relay_("standin-relay", targets(of, servers)) {
        const auto ready = relay_.read_ready();
        port_ = ready.at("port").get<std::uint16_t>();
        auto& listed = configuration_["services"][0]["backend_servers"];
        for (std::size_t i = 0; i < servers; ++i) {
            listed[i]["port"] = ready.at("routes").at(i).at("port");
        }
    }

    const nlohmann::json& configuration() const { return configuration_; }

    void set(const std::string& mode) const {
        http_post(port_, "/control/route?mode=" + mode);
    }

private:
    static std::vector<std::string> targets(fleet& of, std::size_t servers) {
        std::vector<std::string> words;
        for (std::size_t i = 0; i < servers; ++i) {
            words.push_back("--to=" + std::to_string(of.backend(i).port()));
        }
        return words;
    }

    nlohmann::json configuration_;
    child_process relay_;
    std::uint16_t port_ = 0;
};

} // namespace waxwingvale::standin
