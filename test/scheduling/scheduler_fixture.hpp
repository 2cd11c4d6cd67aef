#pragma once

#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/decision/service_scheduler.hpp>

namespace waxwingvale::decision {

// A scheduler of entry instance "entry-0", if no other is named, for a service
// with a few backend servers, named "a", "b" and so on.
class scheduler_fixture {
public:
    std::vector<scheduler_action> actions; // returned for the last event
    view_changed view;
    time_point now{};

    // "entry-0" owns the first `own_servers` servers, "entry-1" the others.
    // Each server has `slots` slots.
    scheduler_fixture(unsigned servers, unsigned slots, unsigned own_servers,
                      const std::string& self = "entry-0")
        : scheduler_("slate-view", {self, 1}, {},
                     time_point(-std::chrono::hours(1))) {
        configuration config;
        service service_config;
        service_config.name = "slate-view";
        service_config.typical_time = duration(20000);
        request_class reads{"reads", {"GET"}, "/", request_nature::retriable,
                            {},      0};
        service_config.classes = {reads};
        view.owners.service = service_config.name;
        view.owners.owners = {{{"entry-0", 1}, "sea", {}, 0},
                              {{"entry-1", 1}, "sea", {}, 0}};
        for (unsigned i = 0; i < servers; ++i) {
            backend_server server;
            server.name = std::string(1, static_cast<char>('a' + i));
            server.data_centre = "sea";
            server.slots = slots;
            service_config.backend_servers.push_back(server);
            slot_owner& owner = view.owners.owners[i < own_servers ? 0 : 1];
            owner.backend_servers.push_back(server.name);
            owner.slots += slots;
        }
        config.services = {service_config};
        config.tenants = {{"league", 1}, {"desk", 3}};
        for (int i = 0; i < 2; ++i) {
            member instance;
            instance.id = {"entry-" + std::to_string(i), 1};
            instance.data_centre = "sea";
            view.members.push_back(instance);
        }
        view.config = std::make_shared<const configuration>(config);
        apply_view();
    }

    void apply_view() { send(view); }

    void send(const scheduler_event& event) {
        actions.clear();
        scheduler_.handle(event, now, actions);
    }

    void link_peer(bool reachable = true) {
        send(peer_reachability{"entry-1", reachable});
    }

    request_arrived request(request_id id,
                            duration remaining = duration(1000000)) const {
        request_arrived event;
        event.request = id;
        event.tenant = "league";
        event.request_class = "reads";
        event.nature = request_nature::retriable;
        event.deadline = now + remaining;
        return event;
    }

    void arrive(request_id id, duration remaining = duration(1000000)) {
        send(request(id, remaining));
    }

    void finish(request_id id,
                attempt_verdict verdict = attempt_verdict::answered,
                duration service_time = duration(20000)) {
        request_finished ended;
        ended.request = id;
        ended.verdict = verdict;
        ended.service_time = service_time;
        send(ended);
    }

    void pass(duration by) {
        now += by;
        send(time_passed{});
    }

    // The actions of one kind that were returned for the last event.
    template <typename Action>
    std::vector<Action> all() const {
        std::vector<Action> found;
        for (const scheduler_action& action : actions) {
            if (const auto* known = std::get_if<Action>(&action)) {
                found.push_back(*known);
            }
        }
        return found;
    }

    const service_scheduler& scheduler() const { return scheduler_; }

private:
    service_scheduler scheduler_;
};

} // namespace waxwingvale::decision
