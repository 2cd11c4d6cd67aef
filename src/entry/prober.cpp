#include "entry/prober.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <waxwingvale/decision/ownership.hpp>

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// Slowed servers are probed 60 ms after their last load report; checks at less
// than half of that interval are precise enough.
constexpr duration due_check_period = 25ms;
// Servers answer within milliseconds. Lost packets are sent again after 200 ms.
constexpr duration probe_timeout = 300ms;
// Every server is probed at this interval, if the budget allows, even if its
// load does not matter: all instances need to know that it is back or leaving.
constexpr duration idle_probe_period = 2s;
// One in this many checks looks for servers that are due by that interval.
constexpr unsigned checks_per_idle_check = 8;
constexpr duration probe_connection_kept_for = 5s;

} // namespace

prober::prober(std::string self, const request_protocol& protocol,
               kernel::timer_service& timers, forwarding::backend_pool& pool,
               program::counter probes, reach_watch& reach,
               probe_outlet& outlet)
    : self_(std::move(self)),
      protocol_(protocol),
      timers_(timers),
      pool_(pool),
      probes_(probes),
      reach_(reach),
      outlet_(outlet) {}

void prober::take(const program::view_published& published) {
    view_ = published.now;
    if (!view_->config) {
        return;
    }
    const auto now = timers_.now();
    for (const auto& of : view_->config->services) {
        follow(of, published.owners->at(of.name), now);
    }
    update_share(now);
    tick_while_owning();
}

// Instances that own no server set no timer: wake-ups cost processor time.
void prober::tick_while_owning() {
    const bool owns =
        std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
            return !entry.second.owned.empty();
        });
    if (!owns) {
        due_.reset();
    } else if (!due_) {
        due_ = timers_.every(due_check_period,
                             [this](time_point now) { probe_due(now); });
    }
}

void prober::follow(const service& of, const decision::ownership& owners,
                    time_point now) {
    decision::probe_limits limits;
    limits.rate = of.budgets.probes;
    auto& probes = services_.try_emplace(of.name, limits).first->second;
    probes.budget.change_rate(of.budgets.probes, now);
    const auto* mine = decision::find_owner(owners, self_);
    std::unordered_set<std::string> names;
    if (mine != nullptr) {
        names.insert(mine->backend_servers.begin(),
                     mine->backend_servers.end());
    }
    std::unordered_map<std::string, owned_server> owned;
    for (const auto& server : of.backend_servers) {
        if (names.count(server.name) == 0) {
            continue;
        }
        const auto known = probes.owned.find(server.name);
        const bool is_new = known == probes.owned.end();
        if (is_new) {
            probes.budget.on_ownership_gained(server.name, now);
        }
        owned[server.name] = {server,
                              is_new ? time_point() : known->second.last};
    }
    for (const auto& known : probes.owned) {
        if (owned.count(known.first) == 0) {
            probes.budget.on_ownership_lost(known.first);
        }
    }
    probes.owned = std::move(owned);
}

void prober::change_links(std::size_t links) {
    links_ = links;
    update_share(timers_.now());
}

// In a network partition both sides may have an owner for the same backend
// server. Each side then uses only its share of the budget.
void prober::update_share(time_point now) {
    const auto members = view_ ? view_->members.size() : 0;
    const auto heard = static_cast<double>(links_ + 1);
    const auto share =
        members == 0 ? 0. : std::min(1., heard / static_cast<double>(members));
    for (auto& entry : services_) {
        entry.second.budget.set_reachable_share(share, now);
    }
}

void prober::probe_due(time_point now) {
    if (!view_ || !view_->config) {
        return;
    }
    const bool idle_ones = ++checks_ % checks_per_idle_check == 0;
    for (const auto& of : view_->config->services) {
        probe_due(of, idle_ones, now);
    }
}

// Goes through all servers only if idle_ones is set: of several hundred, few
// are due at a time.
void prober::probe_due(const service& of, bool idle_ones, time_point now) {
    auto& owned = services_.at(of.name).owned;
    if (owned.empty()) {
        return;
    }
    for (const auto& name : outlet_.servers_to_probe(of.name)) {
        const auto found = owned.find(name);
        if (found != owned.end()) {
            probe(of, found->second, now);
        }
    }
    if (!idle_ones) {
        return;
    }
    for (auto& each : owned) {
        if (now - each.second.last >= idle_probe_period) {
            probe(of, each.second, now);
        }
    }
}

void prober::probe(const service& of, owned_server& server, time_point now) {
    auto& budget = services_.at(of.name).budget;
    if (open_.count(server.at.name) == 0 &&
        outlet_.may_probe(of.name, server.at.name) &&
        budget.try_probe(server.at.name, now)) {
        server.last = now;
        send_probe(of, server.at);
    }
}

// Takes its arguments by value, since erasing the probe's timer destroys the
// handler that holds them.
void prober::end_probe(std::string service, sent_probe ended,
                       backend_answer answer) {
    open_.erase(ended.server);
    const auto& owned = services_.at(service).owned;
    const auto found = owned.find(ended.server);
    if (found != owned.end() &&
        is_of_former(ended.start, found->second.at.incarnation)) {
        return; // the answer is of a previous process
    }
    answer.incarnation = ended.start;
    outlet_.on_probe(service, ended.server, ended.at, answer);
}

void prober::send_probe(const service& of, const backend_server& to) {
    probes_.add();
    outlet_.on_probe_sent(of.name, to.name);
    forwarding::backend_call call;
    call.backend_server = to.name;
    call.host = to.host;
    call.port = to.port;
    call.target = protocol_.health_target(of);
    call.headers.push_back({"Host", to.host});
    call.connect_timeout = probe_timeout;
    call.kept_for = probe_connection_kept_for;
    call.purpose = forwarding::call_purpose::check;
    const sent_probe probe{to.name, to.incarnation, timers_.now()};
    const auto open = pool_.send(std::move(call),
                                 [this, service = of.name, probe](
                                     const forwarding::backend_result& ended) {
                                     take_result(service, probe, ended);
                                 });
    open_[to.name] = {
        probe.at, timers_.after(probe_timeout, [this, open, service = of.name,
                                                probe](time_point) {
            pool_.cancel(open);
            give_up(service, probe);
        })};
}

void prober::take_result(const std::string& service, const sent_probe& probe,
                         const forwarding::backend_result& ended) {
    const auto meaning = reach_.judge(
        probe.server, ended,
        [this, service, probe, ended](decision::failure_meaning known) {
            settle(service, probe, ended, known);
        });
    if (meaning != decision::failure_meaning::open) {
        settle(service, probe, ended, meaning);
    }
}

// Ends a probe once it is known what its result means.
void prober::settle(const std::string& service, const sent_probe& probe,
                    const forwarding::backend_result& ended,
                    decision::failure_meaning meaning) {
    if (!is_open(probe)) {
        return; // it was given up while its meaning was open
    }
    if (meaning == decision::failure_meaning::of_server) {
        end_probe(service, probe,
                  protocol_.classify_health(ended, probe.server));
        return;
    }
    backend_answer nothing;
    nothing.end = attempt_end::held_back;
    end_probe(service, probe, nothing);
}

// No answer came in time.
void prober::give_up(const std::string& service, const sent_probe& probe) {
    const auto meaning = reach_.on_silence(
        probe.server, [this, service, probe](decision::failure_meaning known) {
            settle_silent(service, probe, known);
        });
    if (meaning != decision::failure_meaning::open) {
        settle_silent(service, probe, meaning);
    }
}

void prober::settle_silent(const std::string& service, const sent_probe& probe,
                           decision::failure_meaning meaning) {
    if (!is_open(probe)) {
        return;
    }
    const bool of_server = meaning == decision::failure_meaning::of_server;
    backend_answer silent;
    silent.end = attempt_end::timed_out;
    silent.sign =
        of_server ? decision::server_sign::silent : decision::server_sign::none;
    end_probe(service, probe, silent);
}

bool prober::is_open(const sent_probe& probe) const {
    const auto open = open_.find(probe.server);
    return open != open_.end() && open->second.sent == probe.at;
}

} // namespace waxwingvale::entry
