#include "waxwing_replay/trace_codec.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingvale::replay {

namespace {

using namespace decision;
using nlohmann::json;

std::int64_t count(duration value) {
    return value.count();
}

std::int64_t count(time_point value) {
    return value.time_since_epoch().count();
}

duration duration_in(const json& from, const char* field) {
    return duration(from.at(field).get<std::int64_t>());
}

time_point time_in(const json& from, const char* field) {
    return time_point(duration_in(from, field));
}

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

// The service of the view's owners, its tenants, members and beliefs. Owners
// follow from service and members.
json encode(const view_changed& event) {
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
    return {{"event", "view_changed"}, {"service", encode_service(*of)},
            {"tenants", tenants},      {"members", members},
            {"beliefs", beliefs},      {"fresh", event.fresh}};
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
    made.owners = compute_ownership(config.services[0], made.members);
    made.config = std::make_shared<const configuration>(std::move(config));
    return made;
}

json encode(const peer_reachability& event) {
    return {{"event", "peer_reachability"},
            {"peer", event.peer},
            {"reachable", event.reachable}};
}

scheduler_event decode_reachability(const json& from) {
    return peer_reachability{from.at("peer").get<std::string>(),
                             from.at("reachable").get<bool>()};
}

json encode(const request_arrived& event) {
    return {{"event", "request_arrived"},
            {"request", event.request},
            {"tenant", event.tenant},
            {"class", event.request_class},
            {"nature", static_cast<int>(event.nature)},
            {"deadline", count(event.deadline)},
            {"attempt", event.attempt},
            {"excluded", event.excluded},
            {"isolated", event.isolated},
            {"only_if_spare", event.only_if_spare}};
}

scheduler_event decode_arrival(const json& from) {
    request_arrived made;
    from.at("request").get_to(made.request);
    from.at("tenant").get_to(made.tenant);
    from.at("class").get_to(made.request_class);
    made.nature = static_cast<request_nature>(from.at("nature").get<int>());
    made.deadline = time_in(from, "deadline");
    from.at("attempt").get_to(made.attempt);
    from.at("excluded").get_to(made.excluded);
    from.at("isolated").get_to(made.isolated);
    from.at("only_if_spare").get_to(made.only_if_spare);
    return made;
}

json encode(const request_finished& event) {
    return {{"event", "request_finished"},
            {"request", event.request},
            {"verdict", static_cast<int>(event.verdict)},
            {"service_time", count(event.service_time)}};
}

scheduler_event decode_finish(const json& from) {
    request_finished made;
    from.at("request").get_to(made.request);
    made.verdict = static_cast<attempt_verdict>(from.at("verdict").get<int>());
    made.service_time = duration_in(from, "service_time");
    return made;
}

json encode(const request_cancelled& event) {
    return {{"event", "request_cancelled"}, {"request", event.request}};
}

scheduler_event decode_cancellation(const json& from) {
    return request_cancelled{from.at("request").get<request_id>()};
}

json encode(const grants_asked& event) {
    return {{"event", "grants_asked"},
            {"peer", event.peer},
            {"count", event.count},
            {"urgency", count(event.urgency)}};
}

scheduler_event decode_ask(const json& from) {
    return grants_asked{from.at("peer").get<std::string>(),
                        from.at("count").get<unsigned>(),
                        duration_in(from, "urgency")};
}

json encode(const ask_answered& event) {
    return {{"event", "ask_answered"},
            {"peer", event.peer},
            {"idle", event.idle},
            {"declined", event.declined},
            {"come_back_in", count(event.come_back_in)},
            {"come_back_interval", count(event.come_back_interval)}};
}

scheduler_event decode_answer(const json& from) {
    return ask_answered{
        from.at("peer").get<std::string>(), from.at("idle").get<unsigned>(),
        from.at("declined").get<unsigned>(), duration_in(from, "come_back_in"),
        duration_in(from, "come_back_interval")};
}

json encode(const grant_received& event) {
    return {{"event", "grant_received"},
            {"peer", event.peer},
            {"grant", event.grant},
            {"backend_server", event.backend_server},
            {"lease", count(event.lease)}};
}

scheduler_event decode_grant(const json& from) {
    return grant_received{from.at("peer").get<std::string>(),
                          from.at("grant").get<grant_id>(),
                          from.at("backend_server").get<std::string>(),
                          duration_in(from, "lease")};
}

json encode(const grant_returned& event) {
    return {{"event", "grant_returned"},
            {"peer", event.peer},
            {"grant", event.grant},
            {"unused", event.unused},
            {"verdict", static_cast<int>(event.verdict)},
            {"class", event.request_class},
            {"service_time", count(event.service_time)}};
}

scheduler_event decode_return(const json& from) {
    grant_returned made;
    from.at("peer").get_to(made.peer);
    from.at("grant").get_to(made.grant);
    from.at("unused").get_to(made.unused);
    made.verdict = static_cast<attempt_verdict>(from.at("verdict").get<int>());
    from.at("class").get_to(made.request_class);
    made.service_time = duration_in(from, "service_time");
    return made;
}

json encode(const time_passed& /*event*/) {
    return {{"event", "time_passed"}};
}

scheduler_event decode_time(const json& /*from*/) {
    return time_passed{};
}

using decoder = scheduler_event (*)(const json&);

const std::map<std::string, decoder>& decoders() {
    static const std::map<std::string, decoder> known = {
        {"view_changed", decode_view},
        {"peer_reachability", decode_reachability},
        {"request_arrived", decode_arrival},
        {"request_finished", decode_finish},
        {"request_cancelled", decode_cancellation},
        {"grants_asked", decode_ask},
        {"ask_answered", decode_answer},
        {"grant_received", decode_grant},
        {"grant_returned", decode_return},
        {"time_passed", decode_time}};
    return known;
}

std::string text(const start_request& a) {
    return "start " + std::to_string(a.request) + ' ' + a.backend_server + ' ' +
           a.from_peer + ' ' + std::to_string(a.grant);
}

std::string text(const refuse_request& a) {
    return "refuse " + std::to_string(a.request) + ' ' + to_string(a.reason) +
           ' ' + std::to_string(count(a.come_back_in));
}

std::string text(const expire_request& a) {
    return "expire " + std::to_string(a.request);
}

std::string text(const ask_grants& a) {
    return "ask " + a.peer + ' ' + std::to_string(a.count) + ' ' +
           std::to_string(count(a.urgency));
}

std::string text(const answer_ask& a) {
    return "answer " + a.peer + ' ' + std::to_string(a.idle) + ' ' +
           std::to_string(a.declined) + ' ' +
           std::to_string(count(a.come_back_in)) + ' ' +
           std::to_string(count(a.come_back_interval));
}

std::string text(const give_grant& a) {
    return "give " + a.peer + ' ' + std::to_string(a.grant) + ' ' +
           a.backend_server + ' ' + std::to_string(count(a.lease));
}

std::string text(const return_grant& a) {
    return "return " + a.peer + ' ' + std::to_string(a.grant) + ' ' +
           (a.unused ? "unused" : "used") + ' ' +
           std::to_string(static_cast<int>(a.verdict)) + ' ' + a.request_class +
           ' ' + std::to_string(count(a.service_time));
}

std::string text(const wake_at& a) {
    return "wake " + std::to_string(count(a.when));
}

} // namespace

json encode_event(const traced_event& traced) {
    json line = std::visit([](const auto& known) { return encode(known); },
                           traced.event);
    line["instance"] = traced.instance;
    line["at"] = count(traced.at);
    return line;
}

result<traced_event> decode_event(const json& line) {
    try {
        const auto kind = line.at("event").get<std::string>();
        const auto found = decoders().find(kind);
        if (found == decoders().end()) {
            return error{error_code::malformed,
                         "read trace",
                         {},
                         "event: unknown kind " + kind};
        }
        traced_event traced;
        line.at("instance").get_to(traced.instance);
        traced.at = time_in(line, "at");
        traced.event = found->second(line);
        return traced;
    } catch (const json::exception& wrong) {
        return error{error_code::malformed, "read trace", {}, wrong.what()};
    }
}

std::string action_text(const scheduler_action& action) {
    return std::visit([](const auto& known) { return text(known); }, action);
}

} // namespace waxwingvale::replay
