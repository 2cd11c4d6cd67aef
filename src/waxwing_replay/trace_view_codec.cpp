#include "waxwing_replay/trace_view_codec.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "waxwing_replay/trace_times.hpp"

namespace waxwingvale::replay {

using namespace decision;
using nlohmann::json;

namespace {

json encode_server(const backend_server& server) {
    return {{"name", server.name},
            {"data_centre", server.data_centre},
            {"slots", server.slots}};
}

json encode_service(const service& of) {
    json classes = json::array();
    for (const request_class& known : of.classes) {
        classes.push_back(
            {{"name", known.name}, {"queue_limit", known.queue_limit}});
    }
    json servers = json::array();
    for (const backend_server& server : of.backend_servers) {
        servers.push_back(encode_server(server));
    }
    return {{"name", of.name},
            {"typical_time", count(of.typical_time)},
            {"classes", classes},
            {"backend_servers", servers}};
}

service decode_service(const json& from) {
    service of;
    from.at("name").get_to(of.name);
    of.typical_time = duration_in(from, "typical_time");
    for (const json& known : from.at("classes")) {
        request_class made;
        known.at("name").get_to(made.name);
        known.at("queue_limit").get_to(made.queue_limit);
        of.classes.push_back(made);
    }
    for (const json& known : from.at("backend_servers")) {
        backend_server made;
        known.at("name").get_to(made.name);
        known.at("data_centre").get_to(made.data_centre);
        known.at("slots").get_to(made.slots);
        of.backend_servers.push_back(made);
    }
    return of;
}

json encode_member(const member& known) {
    return {{"name", known.id.name},
            {"incarnation", known.id.incarnation},
            {"data_centre", known.data_centre},
            {"state", static_cast<int>(known.state)}};
}

member decode_member(const json& from) {
    member made;
    from.at("name").get_to(made.id.name);
    from.at("incarnation").get_to(made.id.incarnation);
    from.at("data_centre").get_to(made.data_centre);
    made.state = static_cast<member_state>(from.at("state").get<int>());
    return made;
}

json encode_belief(const backend_belief& belief) {
    return {{"backend_server", belief.backend_server},
            {"incarnation", belief.incarnation},
            {"state", static_cast<int>(belief.state)},
            {"source", static_cast<int>(belief.source)}};
}

backend_belief decode_belief(const json& from) {
    backend_belief made;
    from.at("backend_server").get_to(made.backend_server);
    from.at("incarnation").get_to(made.incarnation);
    made.state = static_cast<backend_state>(from.at("state").get<int>());
    made.source = static_cast<belief_source>(from.at("source").get<int>());
    return made;
}

} // namespace

json encode_view(const view_changed& event) {
    json members = json::array();
    for (const member& known : event.members) {
        members.push_back(encode_member(known));
    }
    json beliefs = json::array();
    for (const backend_belief& belief : event.beliefs) {
        beliefs.push_back(encode_belief(belief));
    }
    json tenants = json::array();
    for (const tenant& known : event.config->tenants) {
        tenants.push_back({{"name", known.name}, {"share", known.share}});
    }
    const service* of = find_service(*event.config, event.owners.service);
    return {{"event", "view_changed"},
            {"service", encode_service(*of)},
            {"tenants", tenants},
            {"members", members},
            {"beliefs", beliefs},
            {"fresh", event.fresh},
            {"introduced", event.members_known}};
}

scheduler_event decode_view(const json& from) {
    configuration config;
    config.services.push_back(decode_service(from.at("service")));
    for (const json& known : from.at("tenants")) {
        config.tenants.push_back({known.at("name").get<std::string>(),
                                  known.at("share").get<unsigned>()});
    }
    view_changed made;
    for (const json& known : from.at("members")) {
        made.members.push_back(decode_member(known));
    }
    for (const json& known : from.at("beliefs")) {
        made.beliefs.push_back(decode_belief(known));
    }
    from.at("fresh").get_to(made.fresh);
    made.members_known = from.value("introduced", true);
    made.owners = compute_ownership(config.services[0], made.members);
    made.config = std::make_shared<const configuration>(std::move(config));
    return made;
}

} // namespace waxwingvale::replay
