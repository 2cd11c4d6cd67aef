#include "administration/configuration_difference.hpp"

#include <algorithm>

namespace waxwingvale::administration {

namespace {

// What one comparison of two lists of named things is about.
struct compared_list {
    std::string prefix; // "service assign-desk: ", or empty
    std::string what;   // "backend server"
};

template <typename Named>
const Named* find_named(const std::vector<Named>& in, const std::string& name) {
    const auto found =
        std::find_if(in.begin(), in.end(),
                     [&](const Named& one) { return one.name == name; });
    return found == in.end() ? nullptr : &*found;
}

template <typename Named>
void compare_named(const compared_list& list, const std::vector<Named>& before,
                   const std::vector<Named>& after,
                   std::vector<std::string>& lines) {
    const auto tell = [&](const Named& one, const char* what_happened) {
        lines.push_back(list.prefix + list.what + " " + one.name + " " +
                        what_happened);
    };
    for (const auto& one : before) {
        const auto* still = find_named(after, one.name);
        if (still == nullptr) {
            tell(one, "removed");
        } else if (!(*still == one)) {
            tell(one, "changed");
        }
    }
    for (const auto& one : after) {
        if (find_named(before, one.name) == nullptr) {
            tell(one, "added");
        }
    }
}

bool same_order(const std::vector<request_class>& a,
                const std::vector<request_class>& b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](const request_class& x, const request_class& y) {
                          return x.name == y.name;
                      });
}

void compare_services(const service& before, const service& after,
                      std::vector<std::string>& lines) {
    const std::string prefix = "service " + after.name + ": ";
    const auto told = lines.size();
    compare_named({prefix, "class"}, before.classes, after.classes, lines);
    const bool reordered =
        lines.size() == told && !same_order(before.classes, after.classes);
    if (reordered) {
        lines.push_back(prefix + "classes match in another order");
    }
    compare_named({prefix, "backend server"}, before.backend_servers,
                  after.backend_servers, lines);
    if (!(before.budgets == after.budgets)) {
        lines.push_back(prefix + "budgets changed");
    }
    if (before.tenants != after.tenants) {
        lines.push_back(prefix + "tenants changed");
    }
    if (before.owners != after.owners ||
        before.typical_time != after.typical_time) {
        lines.push_back(prefix + "owners or typical time changed");
    }
}

} // namespace

std::vector<std::string>
configuration_difference(const configuration& in_force,
                         const configuration& offered) {
    std::vector<std::string> lines;
    compare_named({"", "data centre"}, in_force.data_centres,
                  offered.data_centres, lines);
    compare_named({"", "tenant"}, in_force.tenants, offered.tenants, lines);
    for (const auto& before : in_force.services) {
        const auto* after = find_service(offered, before.name);
        if (after == nullptr) {
            lines.push_back("service " + before.name + " removed");
        } else {
            compare_services(before, *after, lines);
        }
    }
    for (const auto& after : offered.services) {
        if (find_service(in_force, after.name) == nullptr) {
            lines.push_back("service " + after.name + " added");
        }
    }
    if (in_force.key_lifetime != offered.key_lifetime ||
        in_force.key_limit != offered.key_limit) {
        lines.emplace_back("request keys changed");
    }
    if (in_force.address_keep_min != offered.address_keep_min ||
        in_force.address_keep_max != offered.address_keep_max) {
        lines.emplace_back("addresses changed");
    }
    return lines;
}

} // namespace waxwingvale::administration
