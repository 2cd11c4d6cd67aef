#include "waxwingctl/query_command.hpp"

#include <utility>

#include "waxwingctl/admin_client.hpp"
#include "waxwingctl/printed_json.hpp"
#include "waxwingctl/text_table.hpp"

namespace waxwingvale::ctl {

namespace {

using row = text_table::row;

// The cells of a row, one for each JSON pointer.
row cells_at(const std::string& first, const printed_json& of,
             std::initializer_list<const char*> pointers) {
    row cells{first};
    for (const auto* pointer : pointers) {
        cells.push_back(text_at(of, pointer));
    }
    return cells;
}

std::string joined(const std::vector<printed_json>& values) {
    std::string text;
    for (const auto& value : values) {
        text += (text.empty() ? "" : ",") + shown(value);
    }
    return text.empty() ? "-" : text;
}

// Each evacuation with the platform's revision and its age.
std::string evacuations_of(const printed_json& status) {
    std::string text;
    for (const auto& each : elements(status, "/evacuations")) {
        text += (text.empty() ? "" : ",") + text_at(each, "/data_centre") +
                "@" + text_at(each, "/revision") + " (" +
                text_at(each, "/known_for_ms") + " ms)";
    }
    return text.empty() ? "-" : text;
}

void add_status(const std::string& admin, const printed_json& of,
                text_table& to) {
    auto cells = cells_at(admin, of,
                          {"/instance", "/data_centre", "/state", "/version",
                           "/fresh", "/configuration/revision_in_force",
                           "/configuration/newest_revision_seen",
                           "/configuration/refused/error/detail",
                           "/members/alive", "/quarantined"});
    cells.push_back(evacuations_of(of));
    cells.push_back(text_at(of, "/platform/reachable"));
    to.add(std::move(cells));
}

void add_members(const std::string& admin, const printed_json& of,
                 text_table& to) {
    for (const auto& one : elements(of, "/members")) {
        to.add(cells_at(admin, one,
                        {"/name", "/incarnation", "/data_centre", "/state",
                         "/host", "/caller_port", "/steer_port"}));
    }
}

void add_owners(const std::string& admin, const printed_json& of,
                text_table& to) {
    for (const auto& one : elements(of, "/services")) {
        const auto owners = elements(one, "/owners");
        if (owners.empty()) {
            to.add({admin, text_at(one, "/service"), "nobody"});
        }
        for (const auto& owner : owners) {
            to.add({admin, text_at(one, "/service"),
                    text_at(owner, "/instance"), text_at(owner, "/data_centre"),
                    text_at(owner, "/slots"),
                    joined(elements(owner, "/backend_servers"))});
        }
    }
}

void add_backends(const std::string& admin, const printed_json& of,
                  text_table& to) {
    for (const auto& one : elements(of, "/backend_servers")) {
        to.add(cells_at(admin, one,
                        {"/service", "/name", "/data_centre", "/slots",
                         "/state", "/source", "/observer", "/incarnation",
                         "/since_ms_ago"}));
    }
}

void add_config(const std::string& admin, const printed_json& of,
                text_table& to) {
    to.add(cells_at(admin, of,
                    {"/revision_in_force", "/newest_revision_seen",
                     "/refused/revision", "/refused/error/detail"}));
}

void add_quarantine(const std::string& admin, const printed_json& of,
                    text_table& to) {
    for (const auto& one : elements(of, "/fingerprints")) {
        to.add({admin, shown(one)});
    }
}

void add_explanation(const std::string& admin, const printed_json& of,
                     text_table& to) {
    for (const auto& step : elements(of, "/steps")) {
        to.add({admin, text_at(step, "/step"), text_at(step, "/found")});
    }
    for (const auto& owner : elements(of, "/owners")) {
        to.add({admin, "owner " + text_at(owner, "/instance"),
                text_at(owner, "/slots") + " slots, " +
                    text_at(owner, "/data_centre")});
    }
    for (const auto& server : elements(of, "/backend_servers")) {
        to.add({admin, "backend server " + text_at(server, "/name"),
                text_at(server, "/state") + ": " + text_at(server, "/because") +
                    "; owner " + text_at(server, "/owner")});
    }
    to.add({admin, "verdict", text_at(of, "/verdict")});
}

std::string plain_target(const char* path, const command_options&) {
    return path;
}

std::string explain_target(const char* path, const command_options& options) {
    return std::string(path) + "?service=" + url_escaped(options.service) +
           "&method=" + url_escaped(options.method) +
           "&path=" + url_escaped(options.path) +
           "&tenant=" + url_escaped(options.tenant);
}

// How one document is asked for and laid out.
struct query {
    query_kind kind;
    const char* path;
    std::string (*target)(const char* path, const command_options&);
    std::vector<std::string> titles;
    void (*add_rows)(const std::string& admin, const printed_json& of,
                     text_table& to);
};

const std::vector<query>& queries() {
    static const std::vector<query> table{
        {query_kind::status,
         "/v1/status",
         plain_target,
         {"ADMIN", "INSTANCE", "DATA-CENTRE", "STATE", "VERSION", "FRESH",
          "REVISION", "NEWEST", "REFUSED", "ALIVE", "QUARANTINED", "EVACUATED",
          "PLATFORM"},
         add_status},
        {query_kind::members,
         "/v1/members",
         plain_target,
         {"ADMIN", "INSTANCE", "INCARNATION", "DATA-CENTRE", "STATE", "HOST",
          "CALLERS", "STEER"},
         add_members},
        {query_kind::owners,
         "/v1/owners",
         plain_target,
         {"ADMIN", "SERVICE", "OWNER", "DATA-CENTRE", "SLOTS",
          "BACKEND-SERVERS"},
         add_owners},
        {query_kind::backends,
         "/v1/backends",
         plain_target,
         {"ADMIN", "SERVICE", "BACKEND-SERVER", "DATA-CENTRE", "SLOTS", "STATE",
          "SOURCE", "OBSERVER", "INCARNATION", "SINCE-MS"},
         add_backends},
        {query_kind::config,
         "/v1/configuration",
         plain_target,
         {"ADMIN", "REVISION", "NEWEST", "REFUSED", "BECAUSE"},
         add_config},
        {query_kind::quarantine,
         "/v1/quarantine",
         plain_target,
         {"ADMIN", "FINGERPRINT"},
         add_quarantine},
        {query_kind::explain,
         "/v1/explain",
         explain_target,
         {"ADMIN", "STEP", "FOUND"},
         add_explanation},
    };
    return table;
}

const query& query_of(query_kind kind) {
    for (const auto& candidate : queries()) {
        if (candidate.kind == kind) {
            return candidate;
        }
    }
    return queries().front();
}

void print_json(const std::vector<admin_answer>& answers, std::ostream& out) {
    auto all = printed_json::array();
    for (const auto& answer : answers) {
        if (answer.document) {
            all.push_back({{"admin", to_string(answer.from)},
                           {"document", answer.document.value()}});
        } else {
            all.push_back(
                {{"admin", to_string(answer.from)},
                 {"error", waxwingvale::to_string(answer.document.error())}});
        }
    }
    out << to_printed_text(all);
}

} // namespace

exit_code run_query(query_kind kind, const command_options& options,
                    const command_output& to) {
    const auto& asked = query_of(kind);
    const auto answers =
        ask_admins(options.admins, options.token,
                   {"GET", asked.target(asked.path, options), ""});
    text_table table(asked.titles);
    auto code = exit_code::ok;
    for (const auto& answer : answers) {
        if (answer.document) {
            asked.add_rows(to_string(answer.from), answer.document.value(),
                           table);
        } else {
            to.err << waxwingvale::to_string(answer.document.error()) << '\n';
            code = exit_code::refused;
        }
    }
    if (options.as_json) {
        print_json(answers, to.out);
    } else {
        table.print(to.out);
    }
    return code;
}

} // namespace waxwingvale::ctl
