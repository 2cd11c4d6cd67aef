#include "waxwing_control/knowledge.hpp"

#include <utility>

namespace waxwingvale::control {

knowledge::knowledge(membership::member_record self,
                     membership::configuration_register::validator validate,
                     time_point now)
    : configurations(std::move(validate)),
      members(std::move(self), {}, now),
      beliefs(belief_limit),
      quarantine({}),
      fresh(wake_gap, now) {}

std::string process_name(const std::string& instance, const char* role) {
    return instance + "/" + role;
}

std::string instance_of(const std::string& process, const char* role) {
    const auto suffix = process_name("", role);
    const bool ends_so = process.size() > suffix.size() &&
                         process.compare(process.size() - suffix.size(),
                                         suffix.size(), suffix) == 0;
    return ends_so ? process.substr(0, process.size() - suffix.size())
                   : std::string();
}

} // namespace waxwingvale::control
