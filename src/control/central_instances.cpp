#include "control/central_instances.hpp"

namespace waxwingvale::control {

std::set<std::string>
central_instances(const decision::service_ownerships& owners,
                  const membership::reader_duty& readers) {
    std::set<std::string> central;
    for (const auto& name : readers.readers()) {
        central.insert(name);
    }
    for (const auto& of : owners) {
        for (const auto& owner : of.second.owners) {
            central.insert(owner.member.name);
        }
        for (const auto& standby : of.second.standbys) {
            central.insert(standby.member.name);
        }
    }
    return central;
}

} // namespace waxwingvale::control
