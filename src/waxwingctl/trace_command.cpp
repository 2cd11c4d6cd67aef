#include "waxwingctl/trace_command.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

#include "waxwingctl/printed_json.hpp"
#include "waxwingctl/text_table.hpp"

namespace waxwingvale::ctl {

namespace {

// When one process handled the request, and which backend servers it reached.
struct handled {
    std::string from;
    std::string until;
    std::set<std::string> backend_servers;
};

std::string process_of(const log_line& line) {
    return line.value("program") + " " + line.value("instance");
}

std::map<std::string, handled>
handled_by(const std::vector<log_line>& of_request) {
    std::map<std::string, handled> found;
    for (const auto& line : of_request) {
        auto& here = found[process_of(line)];
        const auto& time = line.value("time");
        here.from = here.from.empty() ? time : std::min(here.from, time);
        here.until = std::max(here.until, time);
        if (!line.value("backend_server").empty()) {
            here.backend_servers.insert(line.value("backend_server"));
        }
    }
    return found;
}

// What a line that belongs to no request tells of, when that may explain one:
// a backend server by its name, or a thing of which there is one a process.
std::string subject_of(const log_line& line) {
    static const std::map<std::string, std::string> subjects = {
        {"configuration_in_force", "configuration"},
        {"configuration_refused", "refused configuration"},
        {"platform_lost", "platform"},
        {"platform_answers", "platform"},
        {"reads_platform", "reader"},
        {"hears_of_platform", "reader"},
        {"late_wakeup", "late wake-up"},
        {"stopping", "life"},
        {"started", "life"}};
    const auto& event = line.value("event");
    if (event == "view_changed") {
        return "view of " + line.value("name");
    }
    if (event == "backend_server_lost") {
        return "death of " + line.value("backend_server");
    }
    const auto found = subjects.find(event);
    return found == subjects.end() ? "" : found->second;
}

bool concerns(const handled& here, const log_line& line) {
    if (line.value("event") == "view_changed") {
        return here.backend_servers.count(line.value("name")) != 0;
    }
    if (line.value("event") == "backend_server_lost") {
        return here.backend_servers.count(line.value("backend_server")) != 0;
    }
    return !subject_of(line).empty();
}

// The newest line of each subject from before the request came, and all from
// while it was there.
std::vector<log_line> believed(const std::vector<log_line>& lines,
                               const std::map<std::string, handled>& by) {
    std::map<std::tuple<std::string, std::string>, log_line> before;
    std::vector<log_line> found;
    for (const auto& line : lines) {
        const auto here = by.find(process_of(line));
        if (here == by.end() || !line.value("request").empty() ||
            !concerns(here->second, line)) {
            continue;
        }
        const auto& time = line.value("time");
        if (time > here->second.until) {
            continue;
        }
        if (time >= here->second.from) {
            found.push_back(line);
            continue;
        }
        const auto key = std::make_tuple(here->first, subject_of(line));
        const auto known = before.find(key);
        if (known == before.end() || known->second.value("time") <= time) {
            before.insert_or_assign(key, line);
        }
    }
    for (auto& entry : before) {
        found.push_back(std::move(entry.second));
    }
    return found;
}

result<std::vector<log_line>> read_lines(const std::string& file_name) {
    std::ifstream file(file_name);
    if (!file) {
        return error{error_code::not_found, "read log", file_name,
                     "cannot be opened"};
    }
    std::vector<log_line> lines;
    for (std::string text; std::getline(file, text);) {
        if (auto line = log_line::parse(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

void print(const std::vector<log_line>& lines, const command_output& to) {
    text_table table({"TIME", "INSTANCE", "EVENT", "FACTS"});
    for (const auto& line : lines) {
        table.add({line.value("time"), line.value("instance"),
                   line.value("event"), line.facts()});
    }
    table.print(to.out);
}

void print_json(const std::vector<log_line>& lines, const command_output& to) {
    auto rows = printed_json::array();
    for (const auto& line : lines) {
        rows.push_back({{"time", line.value("time")},
                        {"program", line.value("program")},
                        {"instance", line.value("instance")},
                        {"event", line.value("event")},
                        {"facts", line.facts()}});
    }
    to.out << rows.dump(2) << '\n';
}

} // namespace

std::vector<log_line> trace_of(const std::string& request,
                               const std::vector<log_line>& lines) {
    std::vector<log_line> found;
    std::copy_if(
        lines.begin(), lines.end(), std::back_inserter(found),
        [&](const log_line& line) { return line.value("request") == request; });
    for (auto& line : believed(lines, handled_by(found))) {
        found.push_back(std::move(line));
    }
    // Steps of one millisecond stay as they were logged.
    std::stable_sort(found.begin(), found.end(),
                     [](const log_line& a, const log_line& b) {
                         return a.value("time") < b.value("time");
                     });
    return found;
}

exit_code run_trace(const command_options& options, const command_output& to) {
    std::vector<log_line> lines;
    auto code = exit_code::ok;
    for (const auto& file : options.files) {
        auto read = read_lines(file);
        if (!read) {
            to.err << waxwingvale::to_string(read.error()) << '\n';
            code = exit_code::refused;
            continue;
        }
        std::move(read.value().begin(), read.value().end(),
                  std::back_inserter(lines));
    }
    const auto traced = trace_of(options.request, lines);
    if (traced.empty()) {
        to.err << "no line names request " << options.request << '\n';
        return exit_code::refused;
    }
    if (options.as_json) {
        print_json(traced, to);
    } else {
        print(traced, to);
    }
    return code;
}

} // namespace waxwingvale::ctl
