#include "scheduling/repeat_fleet.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::decision {

namespace {

using namespace std::chrono_literals;

constexpr duration step_length = 1ms;
constexpr duration link_delay = 1ms;
constexpr duration work = 5ms;
constexpr duration time_left = 800ms;
constexpr duration view_period = 100ms;
constexpr const char* service_name = "view";
constexpr unsigned server_count = 8;
constexpr unsigned slots_per_server = 8;

configuration_ptr made_configuration() {
    service of;
    of.name = service_name;
    of.typical_time = work;
    of.owners = 1;
    of.classes = {
        request_class{"reads", {"GET"}, "/", request_nature::retriable, {}, 0}};
    of.budgets.repeats = repeat_fleet::ratio;
    of.budgets.repeat_window = repeat_fleet::window;
    of.budgets.repeat_extra = static_cast<unsigned>(repeat_fleet::extra);
    for (unsigned each = 0; each < server_count; ++each) {
        backend_server server;
        server.name = "server-" + std::to_string(each);
        server.data_centre = "north";
        server.slots = slots_per_server;
        of.backend_servers.push_back(server);
    }
    configuration config;
    config.services = {of};
    return std::make_shared<const configuration>(config);
}

double between(const std::vector<time_point>& times, time_point from,
               time_point to) {
    const auto first = std::upper_bound(times.begin(), times.end(), from);
    const auto last = std::upper_bound(times.begin(), times.end(), to);
    return static_cast<double>(last - first);
}

} // namespace

repeat_fleet::repeat_fleet(std::size_t instances, unsigned seed)
    : config_(made_configuration()), instances_(instances), random_(seed) {
    for (std::size_t each = 0; each < instances; ++each) {
        start(each);
    }
}

std::string repeat_fleet::name_of(std::size_t each) const {
    return "instance-" + std::to_string(each);
}

bool repeat_fleet::linked(std::size_t a, std::size_t b) const {
    return a != b && instances_[a].side == instances_[b].side;
}

void repeat_fleet::start(std::size_t each) {
    instance& started = instances_[each];
    ++started.incarnation;
    started.began = now_;
    started.attempts.clear();
    started.unread.clear();
    started.scheduler = std::make_unique<service_scheduler>(
        service_name, member_id{name_of(each), started.incarnation},
        scheduling_policy(), now_);
    for (std::size_t other = 0; other < size(); ++other) {
        if (instances_[other].scheduler) {
            tell_links(other);
            tell_view(other);
        }
    }
}

void repeat_fleet::kill(std::size_t each) {
    in_flight_.erase(
        std::remove_if(in_flight_.begin(), in_flight_.end(),
                       [each](const message& m) { return m.to == each; }),
        in_flight_.end());
    start(each);
}

void repeat_fleet::cut(const std::vector<int>& side_of_each) {
    for (std::size_t each = 0; each < size(); ++each) {
        instances_[each].side = side_of_each[each];
    }
    for (std::size_t each = 0; each < size(); ++each) {
        tell_links(each);
        tell_view(each);
    }
}

void repeat_fleet::stop(std::size_t each, bool stopped) {
    instances_[each].stopped = stopped;
    if (!stopped) {
        for (const message& late : std::exchange(instances_[each].unread, {})) {
            handle(each, late.event);
        }
    }
}

void repeat_fleet::tell_links(std::size_t of) {
    for (std::size_t other = 0; other < size(); ++other) {
        if (other != of && instances_[other].scheduler) {
            send(of, peer_reachability{name_of(other), linked(of, other)});
        }
    }
}

// All are known for good; those on the other side count as gone.
void repeat_fleet::tell_view(std::size_t to) {
    view_changed view;
    view.config = config_;
    for (std::size_t each = 0; each < size(); ++each) {
        member known;
        known.id = {name_of(each), instances_[each].incarnation};
        known.data_centre = "north";
        known.state = each == to || linked(each, to) ? member_state::alive
                                                     : member_state::gone;
        view.members.push_back(known);
    }
    view.owners = compute_ownership(config_->services[0], view.members);
    send(to, view);
}

void repeat_fleet::send(std::size_t to, const scheduler_event& event) {
    in_flight_.push_back({now_ + link_delay, to, event});
}

void repeat_fleet::handle(std::size_t each, const scheduler_event& event) {
    std::vector<scheduler_action> actions;
    instances_[each].scheduler->handle(event, now_, actions);
    for (const scheduler_action& action : actions) {
        std::visit([&](const auto& known) { act(each, known); }, action);
    }
}

void repeat_fleet::send_request(std::size_t by, request_id id,
                                unsigned attempt) {
    instances_[by].attempts[id] = attempt;
    request_arrived arrived;
    arrived.request = id;
    arrived.request_class = "reads";
    arrived.nature = request_nature::retriable;
    arrived.deadline = now_ + time_left;
    arrived.attempt = attempt;
    handle(by, arrived);
}

void repeat_fleet::step() {
    now_ += step_length;
    std::vector<message> due;
    for (message& each : std::exchange(in_flight_, {})) {
        (each.due <= now_ ? due : in_flight_).push_back(std::move(each));
    }
    for (message& each : due) {
        instance& to = instances_[each.to];
        if (to.stopped) {
            to.unread.push_back(std::move(each));
        } else {
            handle(each.to, each.event);
        }
    }
}

void repeat_fleet::go_on(duration time, double requests_per_second) {
    std::bernoulli_distribution arrives(requests_per_second / 1000.);
    const auto until = now_ + time;
    while (now_ < until) {
        step();
        for (std::size_t each = 0; each < size(); ++each) {
            if (now_.time_since_epoch() % view_period == duration::zero()) {
                tell_view(each);
            }
            if (arrives(random_) && !instances_[each].stopped) {
                requests_.push_back(now_);
                send_request(each, next_request_++, 1);
            }
        }
    }
}

void repeat_fleet::forget() {
    requests_.clear();
    repeats_.clear();
}

double repeat_fleet::most_beyond() const {
    double most = -extra;
    for (const auto end : repeats_) {
        double requests = 0;
        for (const duration earlier : {duration::zero(), window / 2, window}) {
            const auto until = end - earlier;
            requests =
                std::max(requests, between(requests_, until - window, until));
        }
        most = std::max(most, between(repeats_, end - window, end) -
                                  ratio * requests - extra);
    }
    return most;
}

void repeat_fleet::act(std::size_t by, const start_request& action) {
    const unsigned attempt = instances_[by].attempts[action.request];
    if (attempt > 1) {
        repeats_.push_back(now_);
    }
    request_finished ended;
    ended.request = action.request;
    // No sign of the server's health: only the budget bounds what is repeated.
    ended.verdict = attempt_verdict::cancelled;
    handle(by, ended);
    if (attempt == 1) {
        send_request(by, action.request, 2);
    }
}

void repeat_fleet::act(std::size_t by, const refuse_request& action) {
    instances_[by].attempts.erase(action.request);
}

void repeat_fleet::act(std::size_t by, const expire_request& action) {
    instances_[by].attempts.erase(action.request);
}

void repeat_fleet::to_peer(std::size_t by, const std::string& peer,
                           const scheduler_event& event) {
    for (std::size_t each = 0; each < size(); ++each) {
        if (name_of(each) == peer && linked(by, each)) {
            send(each, event);
        }
    }
}

void repeat_fleet::act(std::size_t by, const ask_slots& action) {
    to_peer(by, action.peer,
            slots_asked{name_of(by), action.waiting, action.withdrawn,
                        action.complete, action.answer_required});
}

void repeat_fleet::act(std::size_t by, const answer_ask& action) {
    to_peer(by, action.peer,
            ask_answered{name_of(by), action.idle, action.is_owner,
                         action.declined});
}

void repeat_fleet::act(std::size_t by, const give_grant& action) {
    to_peer(by, action.peer,
            grant_received{name_of(by), action.grant, action.request,
                           action.backend_server, action.lease,
                           action.slow_after});
}

void repeat_fleet::act(std::size_t by, const return_grant& action) {
    to_peer(by, action.peer,
            grant_returned{name_of(by), action.grant, action.use});
}

void repeat_fleet::act(std::size_t by, const ask_repeats& action) {
    to_peer(by, action.peer,
            repeats_asked{name_of(by), action.round, action.wanted});
}

void repeat_fleet::act(std::size_t by, const give_repeats& action) {
    to_peer(by, action.peer,
            repeats_given{name_of(by), action.round, action.amount});
}

void repeat_fleet::act(std::size_t by, const wake_at& action) {
    in_flight_.push_back({action.when, by, time_passed{}});
}

} // namespace waxwingvale::decision
