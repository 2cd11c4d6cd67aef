#pragma once

#include <map>
#include <string>
#include <typeindex>

#include <waxwingvale/model/error.hpp>

namespace waxwingvale::kernel {

// The micro-kernel's directory: parts of a program are registered under a
// name and find each other by it, so that none constructs another.
class service_registry {
public:
    // The provided object stays the caller's and must outlive the registry's
    // use. Fails with invalid_argument when the name is taken.
    template <typename Service>
    result<void> provide(const std::string& name, Service& provided) {
        return insert(name, std::type_index(typeid(Service)), &provided);
    }

    // Fails with not_found, or invalid_argument when the name belongs to a
    // part of another type.
    template <typename Service>
    result<Service*> find(const std::string& name) const {
        auto found = look_up(name, std::type_index(typeid(Service)));
        if (!found) {
            return found.error();
        }
        return static_cast<Service*>(found.value());
    }

    // For wiring at the start of a program, where a part that is missing is a
    // fault of the program: throws boost::outcome_v2::bad_result_access.
    template <typename Service>
    Service& need(const std::string& name) const {
        return *find<Service>(name).value();
    }

private:
    struct entry {
        std::type_index type;
        void* object;
    };

    result<void> insert(const std::string& name, std::type_index type,
                        void* object);
    result<void*> look_up(const std::string& name, std::type_index type) const;

    std::map<std::string, entry> entries_;
};

} // namespace waxwingvale::kernel
