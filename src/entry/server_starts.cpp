#include "entry/server_starts.hpp"

#include <utility>

namespace waxwingvale::entry {

std::vector<std::string> server_starts::follow(const configuration& now) {
    const auto former = std::exchange(known_, {});
    std::vector<std::string> again;
    for (const auto& of : now.services) {
        for (const auto& server : of.backend_servers) {
            known_[server.name] = server.incarnation;
            const auto before = former.find(server.name);
            if (before != former.end() &&
                is_of_former(before->second, server.incarnation)) {
                again.push_back(server.name);
            }
        }
    }
    return again;
}

} // namespace waxwingvale::entry
