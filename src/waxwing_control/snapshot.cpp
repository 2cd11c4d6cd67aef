#include "waxwing_control/snapshot.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace waxwingvale::control {

namespace {

// Linked processes, and the two beside this one also when they are not.
std::vector<administration::peer_link> links_of(const io::message_hub& hub,
                                                const std::string& self) {
    const auto connected = hub.connected_peers();
    std::set<std::string> names(connected.begin(), connected.end());
    names.insert(process_name(self, entry_role));
    names.insert(process_name(self, steer_role));
    std::vector<administration::peer_link> links;
    links.reserve(names.size());
    for (const auto& name : names) {
        links.push_back({name, hub.connected(name)});
    }
    return links;
}

administration::platform_word word_of(const io::platform_client& platform) {
    administration::platform_word word;
    word.reachable = platform.answers();
    word.last_answer = platform.last_answer();
    word.reads = platform.counters().reads;
    word.failures = platform.counters().failed;
    return word;
}

} // namespace

administration::control_snapshot
take_snapshot(const knowledge& known, const local_processes& local,
              const io::message_hub& hub, const io::platform_client& platform,
              time_point now) {
    const auto& configurations = known.configurations;
    administration::control_snapshot taken;
    taken.now = now;
    taken.seen = local.last_view();
    taken.newest_revision_seen =
        std::max(configurations.revision(), configurations.refused_revision());
    if (const auto& refused = configurations.refused()) {
        taken.refused =
            administration::refused_file{refused->revision, refused->reason};
    }
    taken.platform = word_of(platform);
    taken.links = links_of(hub, known.members.self().id.name);
    for (const auto& [process, revision] : local.in_force()) {
        taken.processes.push_back({process, revision});
    }
    return taken;
}

} // namespace waxwingvale::control
