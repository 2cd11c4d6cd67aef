#include "control/central_instances.hpp"

#include <waxwingvale/decision/ownership.hpp>

namespace waxwingvale::control {

std::set<std::string>
central_instances(const configuration_ptr& config,
                  const std::vector<member>& members,
                  const membership::reader_duty& readers) {
    std::set<std::string> central;
    for (const auto& name : readers.readers()) {
        central.insert(name);
    }
    if (!config) {
        return central;
    }
    for (const auto& of : config->services) {
        const auto owners = decision::compute_ownership(of, members);
        for (const auto& owner : owners.owners) {
            central.insert(owner.member.name);
        }
        for (const auto& standby : owners.standbys) {
            central.insert(standby.member.name);
        }
    }
    return central;
}

} // namespace waxwingvale::control
