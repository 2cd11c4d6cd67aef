#include "waxwingctl/watch_command.hpp"

#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "waxwingctl/admin_client.hpp"
#include "waxwingctl/printed_json.hpp"

namespace waxwingvale::ctl {

namespace {

// What was seen at one look: a thing, such as "127.0.0.1:7192 member pdx-1",
// and its state.
using sight = std::map<std::string, std::string>;

void see_status(const std::string& admin, const printed_json& of, sight& seen) {
    seen[admin + "configuration in force"] =
        text_at(of, "/configuration/revision_in_force");
    seen[admin + "configuration refused"] =
        text_at(of, "/configuration/refused/error/detail");
    seen[admin + "view fresh"] = text_at(of, "/fresh");
    seen[admin + "platform reachable"] = text_at(of, "/platform/reachable");
}

void see_members(const std::string& admin, const printed_json& of,
                 sight& seen) {
    for (const auto& one : elements(of, "/members")) {
        seen[admin + "member " + text_at(one, "/name")] =
            text_at(one, "/state") + " incarnation " +
            text_at(one, "/incarnation");
    }
}

void see_backends(const std::string& admin, const printed_json& of,
                  sight& seen) {
    for (const auto& one : elements(of, "/backend_servers")) {
        seen[admin + "backend server " + text_at(one, "/name")] =
            text_at(one, "/state") + " by " + text_at(one, "/source");
    }
}

void see_quarantine(const std::string& admin, const printed_json& of,
                    sight& seen) {
    for (const auto& one : elements(of, "/fingerprints")) {
        seen[admin + "request " + shown(one)] = "quarantined";
    }
}

struct watched_document {
    const char* path;
    void (*see)(const std::string& admin, const printed_json& of, sight& seen);
};

constexpr watched_document watched[] = {
    {"/v1/status", see_status},
    {"/v1/members", see_members},
    {"/v1/backends", see_backends},
    {"/v1/quarantine", see_quarantine},
};

sight look(const command_options& options) {
    sight seen;
    for (const auto& document : watched) {
        for (const auto& answer : ask_admins(options.admins, options.token,
                                             {"GET", document.path, ""})) {
            const auto admin = to_string(answer.from) + " ";
            if (answer.document) {
                document.see(admin, answer.document.value(), seen);
            } else {
                seen[admin + document.path] =
                    waxwingvale::to_string(answer.document.error());
            }
        }
    }
    return seen;
}

void print_changes(const sight& before, const sight& after, std::ostream& out) {
    for (const auto& [thing, state] : after) {
        const auto earlier = before.find(thing);
        if (earlier == before.end()) {
            out << thing << ": " << state << '\n';
        } else if (earlier->second != state) {
            out << thing << ": " << earlier->second << " -> " << state << '\n';
        }
    }
    for (const auto& [thing, state] : before) {
        if (after.count(thing) == 0) {
            out << thing << ": " << state << " -> no longer shown\n";
        }
    }
    out << std::flush;
}

} // namespace

exit_code run_watch(const command_options& options, const command_output& to) {
    sight before;
    for (std::uint64_t looks = 0;;) {
        auto after = look(options);
        print_changes(before, after, to.out);
        before = std::move(after);
        ++looks;
        if (options.count != 0 && looks == options.count) {
            return exit_code::ok;
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(options.interval_ms));
    }
}

} // namespace waxwingvale::ctl
