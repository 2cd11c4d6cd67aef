#include "entry/prober.hpp"

#include <algorithm>
#include <utility>
#include <waxwingvale/decision/ownership.hpp>

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

constexpr duration due_check_period = 50ms;
constexpr duration probe_timeout = 1s;
constexpr duration probe_connection_kept_for = 5s;

} // namespace

prober::prober(std::string self, const request_protocol& protocol,
               kernel::timer_service& timers, forwarding::backend_pool& pool,
               program::counter probes, report on_answer)
    : self_(std::move(self)),
      protocol_(protocol),
      timers_(timers),
      pool_(pool),
      probes_(probes),
      on_answer_(std::move(on_answer)) {
    due_ = timers_.every(due_check_period,
                         [this](time_point now) { probe_due(now); });
}

void prober::take(const view_ptr& view) {
    view_ = view;
    if (!view->config) {
        return;
    }
    const auto now = timers_.now();
    for (const auto& of : view->config->services) {
        follow(of, now);
    }
    update_share(now);
}

void prober::follow(const service& of, time_point now) {
    decision::probe_limits limits;
    limits.rate = of.budgets.probes;
    auto& probes = services_.try_emplace(of.name, limits).first->second;
    probes.budget.change_rate(of.budgets.probes, now);
    const auto owners = decision::compute_ownership(of, view_->members);
    const auto* mine = decision::find_owner(owners, self_);
    std::set<std::string> owned;
    if (mine != nullptr) {
        owned.insert(mine->backend_servers.begin(),
                     mine->backend_servers.end());
    }
    for (const auto& name : owned) {
        if (probes.owned.count(name) == 0) {
            probes.budget.on_owned(name, now);
        }
    }
    for (const auto& name : probes.owned) {
        if (owned.count(name) == 0) {
            probes.budget.on_lost(name);
        }
    }
    probes.owned = std::move(owned);
}

void prober::change_links(std::size_t links) {
    links_ = links;
    update_share(timers_.now());
}

// In a partition the other side may have an owner for the same backend
// server; each side then spends no more than its share of the budget.
void prober::update_share(time_point now) {
    const auto members = view_ ? view_->members.size() : 0;
    const auto heard = static_cast<double>(links_ + 1);
    const auto share =
        members == 0 ? 0. : std::min(1., heard / static_cast<double>(members));
    for (auto& entry : services_) {
        entry.second.budget.on_share(share, now);
    }
}

void prober::probe_due(time_point now) {
    if (!view_ || !view_->config) {
        return;
    }
    for (const auto& of : view_->config->services) {
        auto& probes = services_.at(of.name);
        for (const auto& server : of.backend_servers) {
            if (probes.owned.count(server.name) != 0 &&
                probes.budget.try_probe(server.name, now)) {
                send_probe(of, server);
            }
        }
    }
}

void prober::send_probe(const service& of, const backend_server& to) {
    probes_.add();
    forwarding::backend_call call;
    call.backend_server = to.name;
    call.host = to.host;
    call.port = to.port;
    call.target = protocol_.health_target(of);
    call.headers.push_back({"Host", to.host});
    call.connect_timeout = probe_timeout;
    call.kept_for = probe_connection_kept_for;
    const auto open =
        pool_.send(std::move(call),
                   [this, name = to.name](forwarding::backend_result ended) {
                       open_.erase(name);
                       on_answer_(name, protocol_.classify_health(ended, name));
                   });
    open_[to.name] =
        timers_.after(probe_timeout, [this, open, name = to.name](time_point) {
            pool_.cancel(open);
            backend_answer silent;
            silent.end = attempt_end::timed_out;
            on_answer_(name, silent);
            open_.erase(name);
        });
}

} // namespace waxwingvale::entry
