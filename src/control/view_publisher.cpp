#include "control/view_publisher.hpp"
#include "control/view_changes.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/program/view_published.hpp>

namespace waxwingvale::control {

namespace {

// Peers have this long to tell what they know before the first view.
constexpr duration introduction_wait = std::chrono::seconds(1);
// But callers are served before, by the platform's word alone, with a part of
// the slots: when all instances lost power, those that others know peers by may
// be the last to be back. With 17 instances the first callers were served 0.38
// s after the first of them had read its configuration, now 0.1 s. A peer that
// is there introduces an instance within some 30 ms.
constexpr duration introduction_hope = std::chrono::milliseconds(100);

bool same_content(const view& a, const view& b) {
    return a.self == b.self && a.config == b.config && a.members == b.members &&
           a.beliefs == b.beliefs && a.quarantined == b.quarantined &&
           a.evacuations == b.evacuations && a.fresh == b.fresh &&
           a.standing == b.standing && a.routes_hold == b.routes_hold &&
           a.members_known == b.members_known;
}

backend_server server_of(const membership::registry_record& record,
                         const service& of) {
    backend_server made;
    made.name = record.name;
    made.host = record.entry.host;
    made.port = record.entry.port;
    made.data_centre = record.entry.data_centre;
    made.slots = record.entry.slots;
    made.connections = of.connections;
    if (record.entry.cold_for > duration::zero()) {
        made.cold_until = record.received_at + record.entry.cold_for;
    }
    made.incarnation = record.entry.incarnation;
    return made;
}

void add_server(const membership::registry_record& record, configuration& to) {
    const bool is_server =
        record.subject == membership::registry_subject::backend_server;
    if (!is_server || record.entry.leaving) {
        return;
    }
    for (auto& each : to.services) {
        if (each.name == record.entry.service) {
            each.backend_servers.push_back(server_of(record, each));
        }
    }
}

// Moves the backend servers of that data centre from the configuration to the
// list.
void evacuate(const std::string& data_centre, configuration& from,
              std::vector<evacuated_server>& to) {
    for (auto& each : from.services) {
        auto& servers = each.backend_servers;
        const auto first_there = std::stable_partition(
            servers.begin(), servers.end(), [&](const backend_server& server) {
                return server.data_centre != data_centre;
            });
        for (auto at = first_there; at != servers.end(); ++at) {
            to.push_back({each.name, at->name, data_centre});
        }
        servers.erase(first_there, servers.end());
    }
}

const evacuation* order_for(const std::string& data_centre,
                            const std::vector<evacuation>& orders) {
    const auto found =
        std::find_if(orders.begin(), orders.end(), [&](const auto& each) {
            return each.data_centre == data_centre;
        });
    return found == orders.end() ? nullptr : &*found;
}

// Adds the orders that the configuration file has. Those known already keep
// the moment since when they are.
void add_orders_of_file(const configuration& file,
                        const std::vector<evacuation>& known, time_point now,
                        std::vector<evacuation>& to) {
    for (const auto& each : file.data_centres) {
        if (!each.evacuated || order_for(each.name, to) != nullptr) {
            continue;
        }
        const auto* before = order_for(each.name, known);
        to.push_back({each.name, file.revision,
                      before == nullptr ? now : before->since});
    }
}

} // namespace

view_publisher::view_publisher(kernel::message_bus& bus,
                               kernel::timer_service& timers, knowledge& known)
    : bus_(bus), timers_(timers), known_(known), started_(timers.now()) {}

// Backend servers that registered themselves stand beside those that the file
// names; those that are leaving, or whose data centre is evacuated, get no new
// work and are left out.
configuration_ptr view_publisher::with_registry() {
    auto from = known_.configurations.in_force();
    const auto version = known_.registry.version();
    if (!from) {
        return from;
    }
    if (from == combined_from_ && version == combined_version_) {
        return combined_;
    }
    auto combined = *from;
    for (const auto& entry : known_.registry.records()) {
        add_server(entry.second, combined);
    }
    auto orders = known_.registry.evacuations();
    add_orders_of_file(*from, evacuations_, timers_.now(), orders);
    evacuations_ = std::move(orders);
    evacuated_servers_.clear();
    for (const auto& order : evacuations_) {
        evacuate(order.data_centre, combined, evacuated_servers_);
    }
    combined_from_ = from;
    combined_version_ = version;
    combined_ = std::make_shared<const configuration>(std::move(combined));
    return combined_;
}

view view_publisher::make_view() {
    view made;
    made.serial = last_ ? last_->serial + 1 : 1;
    made.self = membership::to_member(known_.members.self());
    made.config = with_registry();
    made.evacuations = evacuations_;
    made.evacuated_servers = evacuated_servers_;
    made.published = known_.configurations.file_in_force();
    made.members = known_.members.members();
    for (const auto& record : known_.beliefs.records()) {
        auto belief = membership::to_belief(record);
        if (belief.observer != made.self.id.name) {
            belief.source = belief_source::peer;
        }
        made.beliefs.push_back(std::move(belief));
    }
    made.quarantined = known_.refused_requests();
    made.fresh = known_.fresh.fresh();
    made.standing = known_.standing;
    made.routes_hold = known_.routes_hold;
    made.members_known = members_known_;
    return made;
}

// An instance that has just started knows nobody. Served by what it knows
// then, callers would get "unknown" for keys that name instances it has not
// heard of, and perhaps an old configuration.
bool view_publisher::knows_enough() const {
    return members_known_ ||
           (known_.fresh.fresh() && known_.configurations.in_force() &&
            timers_.now() - started_ >= introduction_hope);
}

bool view_publisher::publish(bool members_known) {
    members_known_ = members_known_ || members_known ||
                     timers_.now() - started_ >= introduction_wait;
    if (!last_ && !knows_enough()) {
        return false;
    }
    auto made = make_view();
    if (last_ && same_content(made, *last_)) {
        return false;
    }
    static const view nothing;
    log_changes(last_ ? *last_ : nothing, made);
    log_evacuations(last_ ? *last_ : nothing, made, timers_.now());
    last_ = std::make_shared<const view>(std::move(made));
    const auto published = program::with_owners(last_);
    owners_ = published.owners;
    bus_.publish(published);
    return true;
}

} // namespace waxwingvale::control
