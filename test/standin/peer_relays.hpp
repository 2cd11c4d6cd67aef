#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/fleet.hpp"

namespace waxwingvale::standin {

// Relays before the peer port of each entry instance in the platform's list,
// so that the fleet can be parted. An instance that has learnt another's own
// port from it reaches it past the relay: a blackhole may part only one
// direction, and tests may not count on more.
class peer_relays {
public:
    explicit peer_relays(fleet& of)
        : relay_("standin-relay", targets(of)), ready_(relay_.read_ready()) {
        for (std::size_t i = 0; i < of.instance_count(); ++i) {
            of.instance(i).list_peer_port(route_port(i));
        }
    }

    void set(const std::string& mode) const {
        http_post(ready_.at("port").get<std::uint16_t>(),
                  "/control/route?mode=" + mode);
    }

private:
    static std::vector<std::string> targets(fleet& of) {
        std::vector<std::string> words;
        for (std::size_t i = 0; i < of.instance_count(); ++i) {
            words.push_back("--to=" +
                            std::to_string(of.instance(i).control_port()));
        }
        return words;
    }
    std::uint16_t route_port(std::size_t route) const {
        return ready_.at("routes").at(route).at("port").get<std::uint16_t>();
    }

    child_process relay_;
    nlohmann::json ready_;
};

} // namespace waxwingvale::standin
