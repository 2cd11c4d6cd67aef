#include "control/peer_links.hpp"

#include <algorithm>
#include <utility>

#include "control/central_instances.hpp"
#include "io/exchange_codec.hpp"
#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::control {

namespace {

// Of two peers that both plan a link the one with the smaller name dials; the
// other does so only when that has not happened within this time, because the
// first may not know of it yet.
constexpr duration second_dialer_wait = std::chrono::milliseconds(300);
// Links that the plan gave up stay open this long, so that they do not come
// and go with every passing suspicion.
constexpr duration unwanted_limit = std::chrono::seconds(5);

std::string region_of(const configuration_ptr& config,
                      const std::string& data_centre) {
    if (config) {
        for (const auto& each : config->data_centres) {
            if (each.name == data_centre) {
                return each.region;
            }
        }
    }
    return {};
}

void log_problem(const error& problem, const std::string& peer) {
    program::log_warning("peer_message_refused",
                         {{"peer", peer}, {"error", to_string(problem)}});
}

} // namespace

peer_links::peer_links(io::message_hub& hub, kernel::timer_service& timers,
                       knowledge& known, const view_publisher& views,
                       std::vector<program::seed_settings> seeds,
                       std::uint64_t seed)
    : hub_(hub),
      timers_(timers),
      known_(known),
      views_(views),
      seeds_(std::move(seeds)),
      exchange_(known.tables(), known.fresh, {}, seed, timers.now()) {
    hub_.on_link_change(
        [this](const std::string& peer, bool up) { on_link(peer, up); });
    hub_.on_link_replaced([this](const std::string& peer) {
        exchange_.link_replaced(peer, timers_.now());
    });
    hub_.traffic().locate_by([this](const std::string& peer) {
        const auto* member = known_.members.find(peer);
        return member != nullptr &&
               member->data_centre != known_.members.self().data_centre;
    });
    for (const auto* kind : io::exchange_kinds) {
        hub_.on_message(
            kind, [this, kind](const std::string& peer, const auto& body) {
                on_message(kind, peer, body);
            });
    }
}

void peer_links::on_link(const std::string& peer, bool up) {
    if (up) {
        exchange_.link_up(peer, timers_.now());
    } else {
        exchange_.link_down(peer, timers_.now());
    }
    send_waiting();
}

void peer_links::on_message(const std::string& kind, const std::string& peer,
                            const io::message_hub::payload& body) {
    const auto now = timers_.now();
    const auto message = io::decode_exchange(kind, body, now);
    if (!message) {
        ++malformed_;
        log_problem(message.error(), peer);
        return;
    }
    exchange_.receive(peer, message.value(), now);
    if (const auto problem = exchange_.take_error()) {
        log_problem(*problem, peer);
    }
    on_heard_();
}

void peer_links::send_waiting() {
    const auto now = timers_.now();
    // Peers that are told the same come one after the other.
    const membership::exchange_message* encoded = nullptr;
    io::message_hub::payload bytes;
    for (const auto& each : exchange_.take_messages(now)) {
        if (each.message.get() != encoded) {
            encoded = each.message.get();
            bytes = io::encode_exchange(*encoded, now);
        }
        hub_.send(each.peer, io::kind_of(*encoded), bytes);
    }
}

std::vector<membership::placed_member>
peer_links::placed(bool with_gone) const {
    const auto config = known_.configurations.in_force();
    std::vector<membership::placed_member> all;
    for (const auto& each : known_.members.members()) {
        const bool is_self = each.id.name == known_.members.self().id.name;
        if (is_self || with_gone || each.state != member_state::gone) {
            all.push_back({each.id.name, each.data_centre,
                           region_of(config, each.data_centre)});
        }
    }
    return all;
}

std::set<std::string> peer_links::wanted_links() const {
    return membership::wanted_links(known_.members.self().id.name,
                                    placed(false), placed(true), central());
}

std::set<std::string> peer_links::central() const {
    return central_instances(views_.last_owners(), known_.readers);
}

// In a full mesh all tell each other what they see.
std::set<std::string>
peer_links::tell_each_other(const std::set<std::string>& wanted) const {
    const auto all = known_.members.members().size();
    if (wanted.size() + 1 != all || all > membership::full_mesh_limit) {
        return central();
    }
    auto mesh = wanted;
    mesh.insert(known_.members.self().id.name);
    return mesh;
}

void peer_links::plan() {
    const auto now = timers_.now();
    const auto wanted = wanted_links();
    exchange_.plan(wanted, tell_each_other(wanted), now);
    planned_for_ = known_.members.version();
    const auto& linked = exchange_.linked();
    missing_links_ =
        linked.empty() || !std::includes(linked.begin(), linked.end(),
                                         wanted.begin(), wanted.end());
    for (const auto& peer : wanted) {
        want(peer, known_.members.find(peer)->addresses, now);
    }
    dial_seeds();
    drop_unwanted(wanted, now);
}

void peer_links::want(const std::string& peer, const member_addresses& address,
                      time_point now) {
    auto& link = links_[peer];
    if (link.planned == time_point()) {
        link.planned = now;
    }
    link.unwanted = {};
    const bool first = known_.members.self().id.name < peer;
    // Asked for by name too, a link that a seed's address gave stays when the
    // seeds are left.
    const bool linked = exchange_.linked().count(peer) > 0;
    const bool my_turn =
        first || linked || now - link.planned >= second_dialer_wait;
    if (my_turn) {
        dial(peer, address);
    }
}

void peer_links::dial(const std::string& peer,
                      const member_addresses& address) {
    auto& link = links_[peer];
    const bool same = link.dialing && link.address == address;
    if (address.control_port == 0 || same) {
        return;
    }
    link.address = address;
    link.dialing = true;
    hub_.connect(peer, address.host, address.control_port);
}

// Seeds are only for finding anybody at all; kept, they would hold a link with
// every instance that names them.
void peer_links::dial_seeds() {
    // Whoever is linked but no member can tell nothing of others.
    const auto& linked = exchange_.linked();
    const auto members =
        std::count_if(linked.begin(), linked.end(), [&](const auto& peer) {
            return known_.members.find(peer) != nullptr;
        });
    for (const auto& seed : seeds_) {
        const auto& self = known_.members.self().addresses;
        const bool is_self =
            seed.host == self.host && seed.control_port == self.control_port;
        if (members == 0 && !is_self) {
            hub_.connect_address(seed.host, seed.control_port);
        } else if (members > 1) {
            hub_.disconnect_address(seed.host, seed.control_port);
        }
    }
}

void peer_links::drop_unwanted(const std::set<std::string>& wanted,
                               time_point now) {
    for (auto at = links_.begin(); at != links_.end();) {
        auto& link = at->second;
        const bool is_wanted = wanted.count(at->first) > 0;
        // A seed stays until others are found.
        if (!is_wanted && exchange_.linked().size() > 1 &&
            link.unwanted == time_point()) {
            link.unwanted = now;
        }
        const bool drop = !is_wanted && link.unwanted != time_point() &&
                          now - link.unwanted >= unwanted_limit;
        if (drop) {
            hub_.disconnect(at->first);
        }
        at = drop ? links_.erase(at) : std::next(at);
    }
}

void peer_links::tick(time_point now, bool anyhow) {
    exchange_.tick(now);
    if (anyhow || missing_links_ || planned_for_ != known_.members.version()) {
        plan();
    }
}

} // namespace waxwingvale::control
