#include "waxwingctl/command_line.hpp"

#include <algorithm>
#include <docopt/docopt.h>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

#include "model/document_reader.hpp"
#include "waxwingctl/check_command.hpp"
#include "waxwingctl/query_command.hpp"
#include "waxwingctl/trace_command.hpp"
#include "waxwingctl/watch_command.hpp"

namespace waxwingvale::ctl {

namespace {

constexpr const char* usage =
    R"(waxwingctl: checks configuration files and shows what entry instances know.
It changes nothing: the system is driven by the configuration file only.

Usage:
  waxwingctl check [--json] [--admin=ADDRESSES --token-file=FILE] FILE...
  waxwingctl status --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl members --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl owners --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl backends --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl config --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl quarantine --admin=ADDRESSES --token-file=FILE [--json]
  waxwingctl explain --admin=ADDRESSES --token-file=FILE [--json]
             [--tenant=NAME] SERVICE METHOD PATH
  waxwingctl watch --admin=ADDRESSES --token-file=FILE
             [--interval-ms=MS] [--count=N]
  waxwingctl trace [--json] REQUEST FILE...
  waxwingctl (--help | --version)

Options:
  --admin=ADDRESSES  Administration addresses, HOST:PORT[,HOST:PORT...].
  --token-file=FILE  File that holds the bearer token.
  --json             Print JSON in place of a table.
  --tenant=NAME      The tenant that sends the request.
  --interval-ms=MS   Time between two looks [default: 1000].
  --count=N          End after that many looks; 0: never [default: 0].
  --version          Print the version and end.
  --help             Print this and end.

Exit codes: 0 ok, 1 a file is refused or an instance gave no answer, 2 usage.
)";

constexpr std::size_t token_limit = 64 * 1024; // bytes

using options_map = std::map<std::string, docopt::value>;

// The handler of each command.
struct command_entry {
    const char* name;
    exit_code (*run)(const command_options&, const command_output&);
};

constexpr command_entry commands[] = {
    {"check", run_check},
    {"status", run_query<query_kind::status>},
    {"members", run_query<query_kind::members>},
    {"owners", run_query<query_kind::owners>},
    {"backends", run_query<query_kind::backends>},
    {"config", run_query<query_kind::config>},
    {"quarantine", run_query<query_kind::quarantine>},
    {"explain", run_query<query_kind::explain>},
    {"watch", run_watch},
    {"trace", run_trace},
};

std::string text_of(const options_map& options, const char* name) {
    const auto found = options.find(name);
    const bool given = found != options.end() && found->second.isString();
    return given ? found->second.asString() : "";
}

bool flag_of(const options_map& options, const char* name) {
    const auto found = options.find(name);
    return found != options.end() && found->second.isBool() &&
           found->second.asBool();
}

error usage_error(const std::string& option, const std::string& detail) {
    return {error_code::invalid_argument, "read command line", option, detail};
}

// A whole number of at most `most`.
result<std::uint64_t> parse_number(const std::string& option,
                                   const std::string& text,
                                   std::uint64_t most) {
    constexpr std::size_t digits_limit = 10;
    const bool digits = !text.empty() && text.size() <= digits_limit &&
                        std::all_of(text.begin(), text.end(), [](char c) {
                            return c >= '0' && c <= '9';
                        });
    if (!digits || std::stoull(text) > most) {
        return usage_error(option, "expected a whole number from 0 to " +
                                       std::to_string(most) + ", found " +
                                       object_reader::quoted(text));
    }
    return std::stoull(text);
}

result<admin_address> parse_address(const std::string& text) {
    constexpr std::uint64_t port_most = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return usage_error("--admin", "expected HOST:PORT, found " +
                                          object_reader::quoted(text));
    }
    const auto port =
        parse_number("--admin", text.substr(colon + 1), port_most);
    if (!port) {
        return port.error();
    }
    return admin_address{text.substr(0, colon),
                         static_cast<std::uint16_t>(port.value())};
}

result<std::vector<admin_address>> parse_addresses(const options_map& given) {
    std::vector<admin_address> addresses;
    const auto option = given.find("--admin");
    if (option == given.end() || !option->second.isString()) {
        return addresses;
    }
    std::istringstream parts(option->second.asString());
    for (std::string part; std::getline(parts, part, ',');) {
        const auto address = parse_address(part);
        if (!address) {
            return address.error();
        }
        addresses.push_back(address.value());
    }
    if (addresses.empty()) {
        return usage_error("--admin", "expected HOST:PORT, found nothing");
    }
    return addresses;
}

result<std::string> read_token(const std::string& file) {
    if (file.empty()) {
        return std::string();
    }
    auto text = program::read_file(file, token_limit);
    if (text) {
        text.value().erase(text.value().find_last_not_of(" \t\r\n") + 1);
    }
    return text;
}

result<command_options> read_options(const options_map& given) {
    constexpr std::uint64_t interval_most = 3'600'000; // ms
    constexpr std::uint64_t count_most = 1'000'000'000;
    command_options options;
    if (const auto files = given.find("FILE");
        files != given.end() && files->second.isStringList()) {
        options.files = files->second.asStringList();
    }
    options.request = text_of(given, "REQUEST");
    options.service = text_of(given, "SERVICE");
    options.method = text_of(given, "METHOD");
    options.path = text_of(given, "PATH");
    options.tenant = text_of(given, "--tenant");
    options.as_json = flag_of(given, "--json");
    auto admins = parse_addresses(given);
    auto token = read_token(text_of(given, "--token-file"));
    const auto interval = parse_number(
        "--interval-ms", text_of(given, "--interval-ms"), interval_most);
    const auto count =
        parse_number("--count", text_of(given, "--count"), count_most);
    if (!admins) {
        return admins.error();
    }
    if (!token) {
        return token.error();
    }
    if (!interval) {
        return interval.error();
    }
    if (!count) {
        return count.error();
    }
    options.admins = std::move(admins.value());
    options.token = std::move(token.value());
    options.interval_ms = interval.value();
    options.count = count.value();
    return options;
}

exit_code run_chosen(const options_map& given, const command_output& to) {
    const auto options = read_options(given);
    if (!options) {
        to.err << waxwingvale::to_string(options.error()) << '\n';
        return exit_code::usage;
    }
    const auto* chosen = std::find_if(
        std::begin(commands), std::end(commands),
        [&](const command_entry& c) { return flag_of(given, c.name); });
    return chosen == std::end(commands) ? exit_code::usage
                                        : chosen->run(options.value(), to);
}

} // namespace

std::string to_string(const admin_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

int run_command_line(const std::vector<std::string>& arguments,
                     const command_output& to) {
    constexpr bool help = true;
    constexpr bool version = true;
    auto code = exit_code::ok;
    try {
        code = run_chosen(docopt::docopt_parse(usage, arguments, help, version),
                          to);
    } catch (const docopt::DocoptExitHelp&) {
        to.out << usage;
    } catch (const docopt::DocoptExitVersion&) {
        to.out << "waxwingctl " << program::version() << '\n';
    } catch (const docopt::DocoptArgumentError& failure) {
        to.err << failure.what() << '\n' << usage;
        code = exit_code::usage;
    }
    return static_cast<int>(code);
}

} // namespace waxwingvale::ctl
