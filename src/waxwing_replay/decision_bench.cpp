#include "waxwing_replay/decision_bench.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <iomanip>
#include <optional>
#include <ostream>

#include "waxwing_replay/waxwing_policy.hpp"

namespace waxwingvale::replay {

namespace {

using namespace decision;

constexpr unsigned slots_per_server = 6;
constexpr duration service_time{20000};
constexpr duration time_allowed{600000000};
constexpr std::size_t waiting_requests = 200;
constexpr double steady_share = 0.7;
// Between two requests that arrive.
constexpr duration arrival_gap{100};

// Requests that want an answer within a time, of servers that tell how busy and
// how slow they are: a quarter of them four times slower, drawn anew for each
// answer.
struct target_case {
    duration target{};
    unsigned slowed_every = 4;
    double slowed_factor = 4;
};
constexpr target_case usual_target{duration(600000)};

view_changed make_view(unsigned members, unsigned backend_servers) {
    service_size size;
    size.user = "bench";
    size.data_centres = {"sea", "pdx", "spk", "boi"};
    size.backend_servers = backend_servers;
    size.slots = slots_per_server;
    size.entry_instances = members;
    configuration config;
    config.services = {service_of(size)};
    view_changed view;
    for (unsigned i = 0; i < members; ++i) {
        member made;
        made.id = member_id_of(i);
        made.data_centre = size.data_centres[i % size.data_centres.size()];
        view.members.push_back(made);
    }
    view.owners = compute_ownership(config.services[0], view.members);
    view.config = std::make_shared<const configuration>(config);
    return view;
}

const slot_owner& largest_owner(const ownership& owners) {
    return *std::max_element(owners.owners.begin(), owners.owners.end(),
                             [](const slot_owner& a, const slot_owner& b) {
                                 return a.slots < b.slots;
                             });
}

// One scheduler with a constant number of requests in it: for each one that
// ends another arrives.
class request_mill {
public:
    request_mill(const view_changed& view, const member_id& self,
                 std::optional<target_case> timely)
        : scheduler_(view.owners.service, self, {}, started_long_ago),
          timely_(timely) {
        for (const member& peer : view.members) {
            send(peer_reachability{peer.id.name, true});
        }
        send(view);
    }

    void fill(std::size_t requests) {
        for (std::size_t i = 0; i < requests; ++i) {
            arrive();
        }
    }

    void turn(std::uint64_t times) {
        for (std::uint64_t i = 0; i < times; ++i) {
            now_ += arrival_gap;
            end_oldest();
            arrive();
        }
    }

private:
    void end_oldest() {
        if (running_.empty()) {
            return; // all that is left waits for a better slot
        }
        request_finished finished;
        finished.request = running_.front();
        running_.pop_front();
        finished.service_time = service_time;
        if (timely_) {
            const bool slowed = finished.request % timely_->slowed_every == 0;
            const double factor = slowed ? timely_->slowed_factor : 1.0;
            finished.load = backend_load{1, 0, slots_per_server, factor};
        }
        send(finished);
    }

    void arrive() {
        arrival_.request = next_request_++;
        arrival_.tenant = "leagues";
        arrival_.request_class = "reads";
        arrival_.nature = request_nature::retriable;
        arrival_.deadline = now_ + time_allowed;
        if (timely_) {
            arrival_.target = now_ + timely_->target;
        }
        send(arrival_);
    }

    void send(const scheduler_event& event) {
        actions_.clear();
        scheduler_.handle(event, now_, actions_);
        for (const scheduler_action& action : actions_) {
            if (const auto* started = std::get_if<start_request>(&action)) {
                running_.push_back(started->request);
            }
        }
    }

    service_scheduler scheduler_;
    std::optional<target_case> timely_;
    time_point now_{};
    request_arrived arrival_;
    std::deque<request_id> running_;
    std::vector<scheduler_action> actions_;
    request_id next_request_ = 1;
};

double cost_us(const view_changed& view, const slot_owner& owner,
               std::size_t in_system, std::uint64_t requests,
               std::optional<target_case> target = std::nullopt) {
    request_mill mill(view, owner.member, target);
    mill.fill(in_system);
    mill.turn(requests / 10); // caches and estimates settle
    const auto begin = std::chrono::steady_clock::now();
    mill.turn(requests);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    return took.count() / static_cast<double>(requests);
}

} // namespace

bench_figure measure_decision_cost(unsigned members, unsigned backend_servers,
                                   std::uint64_t requests) {
    const view_changed view = make_view(members, backend_servers);
    const slot_owner& owner = largest_owner(view.owners);
    const auto steady =
        static_cast<std::size_t>(std::max(1.0, steady_share * owner.slots));
    bench_figure figure;
    figure.members = members;
    figure.backend_servers = backend_servers;
    figure.owned_slots = owner.slots;
    figure.steady_us = cost_us(view, owner, steady, requests);
    figure.queued_us =
        cost_us(view, owner, owner.slots + waiting_requests, requests);
    figure.timely_us = cost_us(view, owner, steady, requests, usual_target);
    figure.timely_queued_us = cost_us(
        view, owner, owner.slots + waiting_requests, requests, usual_target);
    return figure;
}

std::vector<bench_figure> measure_all_sizes(std::uint64_t requests) {
    std::vector<bench_figure> figures;
    for (const unsigned members : {2U, 18U, 200U}) {
        for (const unsigned servers : {6U, 15U, 100U, 268U, 740U}) {
            figures.push_back(
                measure_decision_cost(members, servers, requests));
        }
    }
    return figures;
}

void print_bench(std::ostream& out, const std::vector<bench_figure>& figures) {
    out << "members  servers  owned slots  steady us  queued us  timely us"
           "  timely queued us\n"
        << std::fixed << std::setprecision(2);
    for (const bench_figure& known : figures) {
        out << std::setw(7) << known.members << std::setw(9)
            << known.backend_servers << std::setw(13) << known.owned_slots
            << std::setw(11) << known.steady_us << std::setw(11)
            << known.queued_us << std::setw(11) << known.timely_us
            << std::setw(18) << known.timely_queued_us << '\n';
    }
}

} // namespace waxwingvale::replay
