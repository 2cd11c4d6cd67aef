#include "control/snapshot.hpp"

#include <algorithm>
#include <string>

namespace waxwingvale::control {

namespace {

std::vector<administration::peer_link> links_of(const io::message_hub& hub) {
    std::vector<administration::peer_link> links;
    for (const auto& name : hub.connected_peers()) {
        links.push_back({name, true});
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
take_snapshot(const knowledge& known, const view_publisher& views,
              const io::message_hub& hub, const io::platform_client& platform,
              time_point now) {
    const auto& configurations = known.configurations;
    administration::control_snapshot taken;
    taken.now = now;
    taken.seen = views.last_view();
    taken.newest_revision_seen =
        std::max(configurations.revision(), configurations.refused_revision());
    if (const auto& refused = configurations.refused()) {
        taken.refused =
            administration::refused_file{refused->revision, refused->reason};
    }
    taken.platform = word_of(platform);
    taken.links = links_of(hub);
    return taken;
}

} // namespace waxwingvale::control
