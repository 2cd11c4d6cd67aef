// The part of call_desk that follows views and keeps a desk for each service.

#include <algorithm>
#include <iterator>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <waxwingvale/decision/ownership.hpp>

#include "entry/call_desk.hpp"

namespace waxwingvale::entry {

namespace {

using beliefs_by_server =
    std::unordered_multimap<std::string_view, const backend_belief*>;

beliefs_by_server by_server(const std::vector<backend_belief>& beliefs) {
    beliefs_by_server sorted;
    sorted.reserve(beliefs.size());
    for (const auto& each : beliefs) {
        sorted.emplace(each.backend_server, &each);
    }
    return sorted;
}

// With those of all services each scheduler would go through thousands that
// are none of its own.
std::vector<backend_belief> beliefs_of(const service& of,
                                       const beliefs_by_server& all) {
    std::vector<backend_belief> own;
    for (const auto& server : of.backend_servers) {
        const auto its = all.equal_range(server.name);
        std::transform(its.first, its.second, std::back_inserter(own),
                       [](const auto& each) { return *each.second; });
    }
    return own;
}

} // namespace

void call_desk::take(const program::view_published& published) {
    view_ = published.now;
    keys_.change_members(view_->members);
    crashes_.follow(*view_, *published.owners);
    detours_.follow(*view_);
    follow(*view_, *published.owners);
    if (view_->routes_hold) {
        held_.release([this](arrival came) { take(std::move(came)); });
    }
}

void call_desk::follow(const view& now,
                       const decision::service_ownerships& owners) {
    if (!now.config) {
        return;
    }
    decision::key_limits limits;
    limits.lifetime = now.config->key_lifetime;
    limits.keys = now.config->key_limit;
    keys_.change_limits(limits);
    if (now.config->routes) {
        targets_.follow(*now.config->routes);
    }
    const beliefs_by_server beliefs = by_server(now.beliefs);
    for (const auto& of : now.config->services) {
        decision::view_changed changed;
        changed.config = now.config;
        changed.members = now.members;
        changed.owners = owners.at(of.name);
        changed.beliefs = beliefs_of(of, beliefs);
        changed.fresh = now.fresh;
        changed.members_known = now.members_known;
        part_of(of.name).policies.follow(of, now.config->routes.get());
        desk_of(of.name).handle(changed);
    }
    for (const auto& known : services_) {
        if (find_service(*now.config, known.first) == nullptr) {
            decision::view_changed without;
            without.config = now.config;
            known.second.desk->handle(without);
        }
    }
}

void call_desk::take(const incoming_grant_message& message) {
    metrics_.grants_taken.add();
    log_.arm();
    const bool known = view_ && view_->config &&
                       find_service(*view_->config, message.service) != nullptr;
    if (!known) {
        return;
    }
    if (const auto* asked =
            std::get_if<decision::slots_asked>(&message.event)) {
        crashes_.on_slots_asked(asked->peer);
    }
    desk_of(message.service).handle(message.event);
}

void call_desk::take(const decision::peer_reachability& reach) {
    reachable_[reach.peer] = reach.reachable;
    for (auto& entry : services_) {
        entry.second.desk->handle(reach);
    }
}

void call_desk::take(const std::string& service,
                     const decision::probe_started& probe) {
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.desk->handle(probe);
    }
}

bool call_desk::may_probe(const std::string& service,
                          const std::string& backend_server) const {
    const auto found = services_.find(service);
    return found != services_.end() &&
           found->second.desk->scheduler().may_probe(backend_server,
                                                     timers_.now());
}

void call_desk::take(const std::string& service,
                     const decision::probe_ended& probe) {
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.desk->handle(probe);
    }
}

std::vector<std::string>
call_desk::servers_to_probe(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end()
               ? std::vector<std::string>()
               : found->second.desk->scheduler().servers_to_probe(
                     timers_.now());
}

call_desk::service_part& call_desk::part_of(const std::string& service) {
    auto& part = services_[service];
    if (!part.desk) {
        part.desk = std::make_unique<service_desk>(service, self_, began_,
                                                   timers_, *this);
        for (const auto& peer : reachable_) {
            part.desk->handle(
                decision::peer_reachability{peer.first, peer.second});
        }
    }
    return part;
}

service_desk& call_desk::desk_of(const std::string& service) {
    return *part_of(service).desk;
}

const backend_server* call_desk::find_backend(const std::string& service,
                                              const std::string& name) const {
    const auto* of = find_service(*view_->config, service);
    if (of == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(
        of->backend_servers.begin(), of->backend_servers.end(),
        [&](const backend_server& server) { return server.name == name; });
    return found == of->backend_servers.end() ? nullptr : &*found;
}

} // namespace waxwingvale::entry
