#include <waxwingvale/kernel/service_registry.hpp>

namespace waxwingvale::kernel {

result<void> service_registry::insert(const std::string& name,
                                      std::type_index type, void* object) {
    const bool added = entries_.emplace(name, entry{type, object}).second;
    if (!added) {
        return error{error_code::invalid_argument, "register service", name,
                     "the name is taken"};
    }
    return success();
}

result<void*> service_registry::look_up(const std::string& name,
                                        std::type_index type) const {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return error{error_code::not_found, "find service", name, ""};
    }
    if (found->second.type != type) {
        return error{error_code::invalid_argument, "find service", name,
                     "it is of another type"};
    }
    return found->second.object;
}

} // namespace waxwingvale::kernel
