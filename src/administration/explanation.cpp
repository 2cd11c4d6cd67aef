#include "administration/explanation.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/ownership.hpp>

#include "administration/state_names.hpp"

namespace waxwingvale::administration {

namespace {

using json = admin_document;

// Collects the steps in the order in which an entry instance takes them.
class explanation {
public:
    explicit explanation(const explained_request& request) {
        document_ = {{"service", request.service},
                     {"method", request.method},
                     {"path", request.path},
                     {"tenant", request.tenant}};
    }

    void add_step(const std::string& step, const std::string& found) {
        steps_.push_back({{"step", step}, {"found", found}});
    }

    void add_owner(json owner) { owners_.push_back(std::move(owner)); }
    void add_server(json server) { servers_.push_back(std::move(server)); }

    json end(const std::string& verdict) {
        document_["verdict"] = verdict;
        document_["steps"] = std::move(steps_);
        document_["owners"] = std::move(owners_);
        document_["backend_servers"] = std::move(servers_);
        return std::move(document_);
    }

private:
    json document_;
    json steps_ = json::array();
    json owners_ = json::array();
    json servers_ = json::array();
};

bool may_call(const service& of, const std::string& tenant) {
    return of.tenants.empty() || std::find(of.tenants.begin(), of.tenants.end(),
                                           tenant) != of.tenants.end();
}

std::string class_text(const request_class& of) {
    const auto deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(of.deadline);
    const std::string nature = of.nature == request_nature::retriable
                                   ? "retriable: may be retried and hedged"
                                   : "at_most_once: never run a second time";
    return "class " + of.name + ", " + nature + ", deadline " +
           std::to_string(deadline.count()) + " ms unless the caller names one";
}

// Fills in the backend servers; returns how many may get new work.
std::size_t explain_servers(const service& of, const view& seen,
                            const decision::ownership& owners,
                            explanation& into) {
    std::size_t usable = 0;
    for (const auto& server : of.backend_servers) {
        const auto belief = std::find_if(
            seen.beliefs.begin(), seen.beliefs.end(),
            [&](const auto& b) { return b.backend_server == server.name; });
        const bool silent = belief == seen.beliefs.end();
        const auto state = silent ? backend_state::serving : belief->state;
        const auto* owner = decision::find_owner_of(owners, server.name);
        usable += state == backend_state::serving ? 1 : 0;
        into.add_server(
            {{"name", server.name},
             {"state", to_string(state)},
             {"because", silent ? "nothing else was heard"
                                : std::string(to_string(belief->source)) +
                                      ", seen by " + belief->observer},
             {"owner", owner == nullptr ? "" : owner->member.name}});
    }
    return usable;
}

// Those that the view's configuration lacks.
void explain_evacuated(const service& of, const view& seen, explanation& into) {
    for (const auto& each : seen.evacuated_servers) {
        if (each.service == of.name) {
            into.add_server({{"name", each.name},
                             {"state", "evacuated"},
                             {"because", "data centre " + each.data_centre +
                                             " is evacuated"},
                             {"owner", ""}});
        }
    }
}

std::size_t evacuated_of(const service& of, const view& seen) {
    const auto& servers = seen.evacuated_servers;
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [&](const auto& each) {
            return each.service == of.name;
        }));
}

void explain_owners(const decision::ownership& owners, explanation& into) {
    for (const auto& owner : owners.owners) {
        into.add_owner({{"instance", owner.member.name},
                        {"data_centre", owner.data_centre},
                        {"slots", owner.slots}});
    }
}

} // namespace

json explanation_document(const control_snapshot& of,
                          const explained_request& request) {
    explanation told(request);
    const auto& seen = *of.seen;
    if (!seen.config) {
        return told.end("not run: no configuration is in force yet");
    }
    told.add_step("configuration",
                  "revision " + std::to_string(seen.config->revision));
    const auto* service_found = find_service(*seen.config, request.service);
    if (service_found == nullptr) {
        return told.end("not run: no service has that name");
    }
    if (!may_call(*service_found, request.tenant)) {
        return told.end("not run: the tenant may not call this service");
    }
    const auto* matched =
        find_class(*service_found, request.method, request.path);
    if (matched == nullptr) {
        return told.end("not run: no class matches the method and path");
    }
    told.add_step("class", class_text(*matched));
    const auto owners =
        decision::compute_ownership(*service_found, seen.members);
    explain_owners(owners, told);
    told.add_step("owners", std::to_string(owners.owners.size()) +
                                " entry instances hand out the slots");
    const auto usable = explain_servers(*service_found, seen, owners, told);
    explain_evacuated(*service_found, seen, told);
    const auto all = service_found->backend_servers.size() +
                     evacuated_of(*service_found, seen);
    told.add_step("backend servers", std::to_string(usable) + " of " +
                                         std::to_string(all) +
                                         " may get new work");
    if (!seen.fresh && matched->nature == request_nature::at_most_once) {
        return told.end("not run: the view is not fresh, and this request "
                        "must not run twice");
    }
    return told.end(usable == 0 ? "not run: no backend server may get new work"
                                : "runs where a slot is free first");
}

} // namespace waxwingvale::administration
