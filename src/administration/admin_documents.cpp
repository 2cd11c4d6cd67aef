#include "administration/admin_documents.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/program_frame.hpp>

#include "administration/configuration_difference.hpp"
#include "administration/state_names.hpp"

namespace waxwingvale::administration {

namespace {

using json = admin_document;

std::int64_t age_ms(time_point now, time_point since) {
    using std::chrono::milliseconds;
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

std::uint64_t revision_in_force(const control_snapshot& of) {
    return of.seen->config ? of.seen->config->revision : 0;
}

json refused_document(const std::optional<refused_file>& refused) {
    if (!refused) {
        return nullptr;
    }
    return {{"revision", refused->revision},
            {"error", error_document(refused->reason)}};
}

json platform_document(const control_snapshot& of) {
    json written = {{"reachable", of.platform.reachable},
                    {"last_answer_ms_ago", nullptr},
                    {"reads", of.platform.reads},
                    {"failures", of.platform.failures}};
    if (of.platform.last_answer) {
        written["last_answer_ms_ago"] =
            age_ms(of.now, *of.platform.last_answer);
    }
    return written;
}

json links_document(const control_snapshot& of) {
    auto written = json::array();
    for (const auto& link : of.links) {
        written.push_back({{"peer", link.peer}, {"connected", link.connected}});
    }
    return written;
}

json member_counts(const view& seen) {
    json counts = {{"alive", 0}, {"suspect", 0}, {"leaving", 0}, {"gone", 0}};
    for (const auto& one : seen.members) {
        auto& count = counts[to_string(one.state)];
        count = count.get<int>() + 1;
    }
    return counts;
}

json member_document(const member& of) {
    return {{"name", of.id.name},
            {"incarnation", of.id.incarnation},
            {"data_centre", of.data_centre},
            {"state", to_string(of.state)},
            {"partitioned", of.partitioned},
            {"runs_late", of.runs_late},
            {"host", of.addresses.host},
            {"caller_port", of.addresses.caller_port},
            {"steer_port", of.addresses.steer_port},
            {"control_port", of.addresses.control_port}};
}

// What is believed of the server, or null when nothing was heard of it.
const backend_belief* belief_of(const view& seen, const std::string& server) {
    const auto found = std::find_if(
        seen.beliefs.begin(), seen.beliefs.end(),
        [&](const auto& one) { return one.backend_server == server; });
    return found == seen.beliefs.end() ? nullptr : &*found;
}

json backend_document(const control_snapshot& of, const service& with,
                      const backend_server& server) {
    json written = {{"name", server.name},
                    {"service", with.name},
                    {"data_centre", server.data_centre},
                    {"host", server.host},
                    {"port", server.port},
                    {"slots", server.slots},
                    {"connections", server.connections},
                    {"state", to_string(backend_state::serving)},
                    {"source", "configuration"},
                    {"observer", nullptr},
                    {"incarnation", 0},
                    {"since_ms_ago", nullptr}};
    if (const auto* belief = belief_of(*of.seen, server.name)) {
        written["state"] = to_string(belief->state);
        written["source"] = to_string(belief->source);
        written["observer"] = belief->observer;
        written["incarnation"] = belief->incarnation;
        written["since_ms_ago"] = age_ms(of.now, belief->since);
    }
    return written;
}

json evacuations_document(const control_snapshot& of) {
    auto written = json::array();
    for (const auto& order : of.seen->evacuations) {
        written.push_back({{"data_centre", order.data_centre},
                           {"revision", order.revision},
                           {"known_for_ms", age_ms(of.now, order.since)}});
    }
    return written;
}

json owner_document(const decision::slot_owner& of) {
    return {{"instance", of.member.name},
            {"incarnation", of.member.incarnation},
            {"data_centre", of.data_centre},
            {"slots", of.slots},
            {"backend_servers", of.backend_servers}};
}

} // namespace

json error_document(const error& of) {
    return {{"code", to_string(of.code)},
            {"step", of.step},
            {"peer", of.peer},
            {"detail", of.detail}};
}

json status_document(const control_snapshot& of) {
    const auto& seen = *of.seen;
    return {{"instance", seen.self.id.name},
            {"incarnation", seen.self.id.incarnation},
            {"data_centre", seen.self.data_centre},
            {"state", to_string(seen.self.state)},
            {"version", program::version()},
            {"fresh", seen.fresh},
            {"view_serial", seen.serial},
            {"configuration",
             {{"revision_in_force", revision_in_force(of)},
              {"standing", to_string(seen.standing)},
              {"newest_revision_seen", of.newest_revision_seen},
              {"refused", refused_document(of.refused)}}},
            {"members", member_counts(seen)},
            {"quarantined", seen.quarantined.size()},
            {"evacuations", evacuations_document(of)},
            {"platform", platform_document(of)},
            {"links", links_document(of)}};
}

json members_document(const control_snapshot& of) {
    auto members = json::array();
    for (const auto& one : of.seen->members) {
        members.push_back(member_document(one));
    }
    return {{"members", std::move(members)}};
}

json owners_document(const control_snapshot& of) {
    auto services = json::array();
    if (of.seen->config) {
        for (const auto& each : of.seen->config->services) {
            auto owners = json::array();
            const auto computed =
                decision::compute_ownership(each, of.seen->members);
            for (const auto& owner : computed.owners) {
                owners.push_back(owner_document(owner));
            }
            services.push_back(
                {{"service", each.name}, {"owners", std::move(owners)}});
        }
    }
    return {{"services", std::move(services)}};
}

json backends_document(const control_snapshot& of) {
    auto servers = json::array();
    if (of.seen->config) {
        for (const auto& each : of.seen->config->services) {
            for (const auto& server : each.backend_servers) {
                servers.push_back(backend_document(of, each, server));
            }
        }
    }
    return {{"backend_servers", std::move(servers)}};
}

json configuration_document(const control_snapshot& of) {
    return {{"revision_in_force", revision_in_force(of)},
            {"newest_revision_seen", of.newest_revision_seen},
            {"refused", refused_document(of.refused)},
            {"file", of.seen->published.text}};
}

json quarantine_document(const control_snapshot& of) {
    auto fingerprints = json::array();
    for (const auto fingerprint : of.seen->quarantined) {
        fingerprints.push_back(fingerprint_text(fingerprint));
    }
    return {{"fingerprints", std::move(fingerprints)}};
}

json check_document(const control_snapshot& of, std::string_view text,
                    const std::string& file_name) {
    auto errors = json::array();
    for (const auto& problem : check_configuration(text, file_name)) {
        errors.push_back(error_document(problem));
    }
    auto changes = json::array();
    const bool valid = errors.empty();
    if (valid && of.seen->config) {
        const auto offered = parse_configuration(text, file_name, 0);
        changes = configuration_difference(*of.seen->config, offered.value());
    }
    return {{"file", file_name},
            {"valid", valid},
            {"errors", std::move(errors)},
            {"against_revision", revision_in_force(of)},
            {"changes", std::move(changes)}};
}

std::string to_text(const json& document) {
    constexpr int on_one_line = -1;
    constexpr bool only_ascii = false;
    return document.dump(on_one_line, ' ', only_ascii,
                         json::error_handler_t::replace) +
           "\n";
}

} // namespace waxwingvale::administration
