#include "waxwing_replay/waxwing_policy.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

using namespace decision;

// Callers that still use an address from before: they reach an instance that
// may own nothing.
constexpr double stale_callers = 0.05;
constexpr unsigned attempts_limit = 3;
// From a link's end until its peer knows, and until owners are moved.
constexpr duration link_loss_noticed{5000};
constexpr duration ownership_moves_after{3000000};
// How often owners look whether a probe is due.
constexpr duration probe_check_period{25000};
// Word of a leaving server reaches all entry instances after that time.
constexpr duration belief_spreads_in{5000};

} // namespace

member_id member_id_of(std::size_t instance) {
    return {"entry-" + std::to_string(instance), 1};
}

waxwing_policy::waxwing_policy(const scheduling_policy& knobs, bool hedging,
                               event_listener listener)
    : knobs_(knobs), hedging_(hedging), listener_(std::move(listener)) {}

void waxwing_policy::make_members() {
    const service_size& size = world_->load().size;
    side_view everybody;
    for (unsigned i = 0; i < size.entry_instances; ++i) {
        member made;
        made.id = member_id_of(i);
        made.data_centre = size.data_centres[i % size.data_centres.size()];
        instance_places_[made.id.name] = i;
        everybody.members.push_back(made);
    }
    everybody.owners = compute_ownership(service_, everybody.members);
    sides_ = {everybody, everybody};
}

void waxwing_policy::begin(replay_world& world) {
    world_ = &world;
    service_ = service_of(world.load().size);
    configuration config;
    config.services = {service_};
    config_ = std::make_shared<const configuration>(config);
    for (std::size_t i = 0; i < service_.backend_servers.size(); ++i) {
        server_places_[service_.backend_servers[i].name] = i;
    }
    make_members();
    for (const member& made : sides_[0].members) {
        entry_instance instance;
        instance.scheduler = std::make_unique<service_scheduler>(
            service_.name, made.id, knobs_, started_long_ago);
        instances_.push_back(std::move(instance));
    }
    link_all();
    plan_faults();
    if (!world.load().size.machines.steady()) {
        probe_unheard();
    }
}

// Owners look for servers to probe all the while; a probe takes a round trip.
void waxwing_policy::probe_unheard() {
    const time_point now = world_->times().now();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        for (const auto& server :
             instances_[i].scheduler->servers_to_probe(now)) {
            send_probe(i, server);
        }
    }
    world_->times().after(probe_check_period, [this] { probe_unheard(); });
}

void waxwing_policy::send_probe(std::size_t instance,
                                const std::string& server) {
    ++probes_;
    world_->times().after(backend_hop, [this, instance, server] {
        probe_ended ended;
        ended.backend_server = server;
        ended.answered = true;
        ended.load = world_->told_load(server_places_.at(server));
        world_->times().after(backend_hop, [this, instance, ended] {
            send_event(instance, ended);
        });
    });
}

double waxwing_policy::probe_rate() const {
    const auto& load = world_->load();
    const double seconds = static_cast<double>(load.length.count()) / 1e6;
    return static_cast<double>(probes_) / (seconds * load.size.backend_servers);
}

void waxwing_policy::link_all() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
            if (peer != i) {
                send_event(i, peer_reachability{member_id_of(peer).name, true});
            }
        }
        send_view(i);
    }
}

void waxwing_policy::plan_faults() {
    for (const fault& known : world_->load().faults) {
        if (known.kind == fault_kind::owner_lost) {
            const std::size_t rank = known.place;
            world_->times().at(known.from, [this, rank] { lose_owner(rank); });
        } else if (known.kind == fault_kind::split) {
            world_->times().at(known.from, [this] { split_in_two(); });
        }
    }
}

std::size_t waxwing_policy::side_of(std::size_t instance) const {
    return split_ ? instance % 2 : 0;
}

bool waxwing_policy::apart(std::size_t one, std::size_t other) const {
    return side_of(one) != side_of(other);
}

// Each half loses its links to the other, and later holds it to be gone and
// takes all backend servers for its own. Callers reach both.
void waxwing_policy::split_in_two() {
    split_ = true;
    world_->times().after(link_loss_noticed, [this] {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
                if (apart(i, peer)) {
                    send_event(
                        i, peer_reachability{member_id_of(peer).name, false});
                }
            }
        }
    });
    world_->times().after(ownership_moves_after,
                          [this] { move_ownership_apart(); });
}

void waxwing_policy::move_ownership_apart() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        side_view& other = sides_[1 - side_of(i)];
        other.members[i].state = member_state::gone;
    }
    for (side_view& side : sides_) {
        side.owners = compute_ownership(service_, side.members);
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        send_view(i);
    }
}

void waxwing_policy::send_view(std::size_t instance) {
    const side_view& side = sides_[side_of(instance)];
    send_event(instance, view_changed{config_, side.members, side.owners,
                                      beliefs_, true});
}

// The instance stops with all it had; its peers see their links break, and
// ownership moves once it is held to be gone.
void waxwing_policy::lose_owner(std::size_t rank) {
    const std::string name = sides_[0].owners.owners.at(rank).member.name;
    const std::size_t lost = instance_places_.at(name);
    instances_[lost].lost = true;
    std::vector<call> cut_off;
    for (auto it = pending_.begin(); it != pending_.end();) {
        if (it->second.instance == lost) {
            world_->cancel(it->second.attempt_id);
            if (!it->second.is_hedge) {
                cut_off.push_back(it->second.of);
            }
            it = pending_.erase(it);
        } else {
            ++it;
        }
    }
    for (const call& ended : cut_off) {
        world_->fail(ended);
    }
    world_->times().after(link_loss_noticed, [this, name] {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            send_event(i, peer_reachability{name, false});
        }
    });
    world_->times().after(ownership_moves_after,
                          [this, lost] { move_ownership(lost); });
}

void waxwing_policy::move_ownership(std::size_t lost) {
    side_view& all = sides_[0];
    all.members[lost].state = member_state::gone;
    all.owners = compute_ownership(service_, all.members);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        send_view(i);
    }
}

// Callers go where they are steered, to the next address when that instance
// is lost; a few use an old answer.
std::size_t waxwing_policy::instance_for(const call& arrived) const {
    const std::uint64_t hash = stable_hash("caller", arrived.caller);
    if (unit_interval(combine_hashes(hash, 5)) < stale_callers) {
        const std::size_t place = combine_hashes(hash, 6) % instances_.size();
        if (!instances_[place].lost) {
            return place;
        }
    }
    const side_view& side = sides_[split_ ? combine_hashes(hash, 7) % 2 : 0];
    const steering_answer answer =
        steer_caller(*config_, side.owners, side.members, {hash, {}, 0});
    for (const steering_address& address : answer.addresses) {
        const std::size_t place = instance_places_.at(address.member.name);
        if (!instances_[place].lost) {
            return place;
        }
    }
    return 0;
}

void waxwing_policy::arrive(const call& arrived) {
    const std::uint64_t request = next_request_++;
    pending_call made;
    made.of = arrived;
    made.instance = instance_for(arrived);
    pending_[request] = std::move(made);
    submit(request);
}

void waxwing_policy::submit(std::uint64_t request) {
    const pending_call& known = pending_.at(request);
    request_arrived event;
    event.request = request;
    event.tenant = known.of.tenant;
    const work_profile& work = world_->work_of(known.of);
    event.nature = work.nature;
    event.request_class = work.name;
    event.priority = work.priority;
    event.deadline = world_->deadline_of(known.of);
    if (world_->has_target(known.of)) {
        event.target = known.of.first_arrived_at + work.target;
    }
    event.attempt = known.attempt;
    event.excluded = known.excluded;
    event.only_if_spare = known.is_hedge;
    send_event(known.instance, event);
}

void waxwing_policy::send_event(std::size_t instance,
                                const scheduler_event& event) {
    if (instances_[instance].lost) {
        return;
    }
    std::vector<scheduler_action> actions;
    const time_point now = world_->times().now();
    instances_[instance].scheduler->handle(event, now, actions);
    if (listener_) {
        listener_(instance, event, now, actions);
    }
    for (const scheduler_action& action : actions) {
        std::visit([&](const auto& known) { act(instance, known); }, action);
    }
}

void waxwing_policy::send_to_peer(std::size_t from, const std::string& peer,
                                  scheduler_event event) {
    if (world_->measuring()) {
        world_->statistics().message_sent();
    }
    const std::size_t to = instance_places_.at(peer);
    if (instances_[from].lost || apart(from, to)) {
        return;
    }
    world_->times().after(peer_hop, [this, to, event = std::move(event)] {
        send_event(to, event);
    });
}

void waxwing_policy::act(std::size_t /*instance*/,
                         const start_request& action) {
    // A hedge's work is drawn anew, as that of a retry is.
    constexpr unsigned hedge_draw = 100;
    pending_call& known = pending_.at(action.request);
    const std::uint64_t request = action.request;
    known.server = action.backend_server;
    known.sent = world_->times().now();
    known.slow_after = action.slow_after;
    const unsigned draw = known.attempt + (known.is_hedge ? hedge_draw : 0);
    known.attempt_id = world_->send(
        known.of, draw, server_places_.at(known.server),
        [this, request](const attempt_result& result, duration time) {
            attempt_ended(request, pending_.at(request).server, result, time);
        });
    watch_for_hedge(request);
}

bool waxwing_policy::may_retry(const pending_call& ended,
                               const attempt_result& result) const {
    const bool harmless =
        result.verdict == attempt_verdict::shed ||
        (result.verdict == attempt_verdict::failed &&
         world_->work_of(ended.of).nature == request_nature::retriable);
    return harmless && !ended.is_hedge && ended.attempt < attempts_limit;
}

void waxwing_policy::retry(std::uint64_t request) {
    pending_call& known = pending_.at(request);
    ++known.attempt;
    if (world_->measuring()) {
        world_->statistics().retried();
    }
    known.excluded.push_back(known.server);
    known.attempt_id = 0;
    submit(request);
}

void waxwing_policy::attempt_ended(std::uint64_t request,
                                   const std::string& server,
                                   const attempt_result& result,
                                   duration service_time) {
    const std::size_t instance = pending_.at(request).instance;
    if (result.leaving) {
        server_leaves(server, instance);
    }
    if (result.verdict == attempt_verdict::answered) {
        instances_[instance].hedges.on_latency(service_time);
        cancel_partner(request);
    }
    request_finished finished;
    finished.request = request;
    finished.verdict = result.verdict;
    finished.service_time = service_time;
    finished.load = result.load;
    send_event(instance, finished);
    if (partner_goes_on(request)) {
        return;
    }
    if (may_retry(pending_.at(request), result)) {
        retry(request);
    } else {
        finish_call(request, result);
    }
}

void waxwing_policy::finish_call(std::uint64_t request,
                                 const attempt_result& result) {
    const call ended = pending_.at(request).of;
    pending_.erase(request);
    if (result.verdict == attempt_verdict::answered) {
        world_->answer(ended);
    } else if (result.verdict == attempt_verdict::shed) {
        world_->refuse(ended, duration::zero());
    } else {
        world_->fail(ended);
    }
}

void waxwing_policy::server_leaves(const std::string& server,
                                   std::size_t observer) {
    const auto known = std::find_if(beliefs_.begin(), beliefs_.end(),
                                    [&](const backend_belief& belief) {
                                        return belief.backend_server == server;
                                    });
    if (known != beliefs_.end()) {
        return;
    }
    beliefs_.push_back({server, 1, backend_state::leaving,
                        belief_source::traffic, member_id_of(observer).name,
                        world_->times().now()});
    send_view(observer);
    world_->times().after(belief_spreads_in, [this, observer] {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (i != observer) {
                send_view(i);
            }
        }
    });
}

void waxwing_policy::act(std::size_t /*instance*/,
                         const refuse_request& action) {
    if (partner_goes_on(action.request)) {
        return;
    }
    const call refused = pending_.at(action.request).of;
    pending_.erase(action.request);
    world_->refuse(refused, action.retry_after);
}

void waxwing_policy::act(std::size_t /*instance*/,
                         const expire_request& action) {
    const call expired = pending_.at(action.request).of;
    pending_.erase(action.request);
    world_->fail(expired);
}

void waxwing_policy::act(std::size_t instance, const ask_slots& action) {
    send_to_peer(instance, action.peer,
                 slots_asked{member_id_of(instance).name, action.waiting,
                             action.withdrawn, action.complete,
                             action.answer_required});
}

void waxwing_policy::act(std::size_t instance, const answer_ask& action) {
    send_to_peer(instance, action.peer,
                 ask_answered{member_id_of(instance).name, action.idle,
                              action.is_owner, action.declined});
}

void waxwing_policy::act(std::size_t instance, const give_grant& action) {
    send_to_peer(instance, action.peer,
                 grant_received{member_id_of(instance).name, action.grant,
                                action.request, action.backend_server,
                                action.lease, action.slow_after});
}

void waxwing_policy::act(std::size_t instance, const return_grant& action) {
    send_to_peer(
        instance, action.peer,
        grant_returned{member_id_of(instance).name, action.grant, action.use});
}

void waxwing_policy::act(std::size_t instance, const ask_repeats& action) {
    send_to_peer(instance, action.peer,
                 repeats_asked{member_id_of(instance).name, action.round,
                               action.wanted});
}

void waxwing_policy::act(std::size_t instance, const give_repeats& action) {
    send_to_peer(instance, action.peer,
                 repeats_given{member_id_of(instance).name, action.round,
                               action.amount});
}

void waxwing_policy::act(std::size_t instance, const wake_at& action) {
    world_->times().at(
        action.when, [this, instance] { send_event(instance, time_passed{}); });
}

} // namespace waxwingvale::replay
