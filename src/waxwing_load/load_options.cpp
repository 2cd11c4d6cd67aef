#include "waxwing_load/load_options.hpp"

#include <arpa/inet.h>
#include <cstdlib>

namespace waxwingvale::load {

const char* const load_usage =
    R"(waxwing-load: an open-loop load and experiment tool.

Usage:
  waxwing-load --steer=LIST --service=NAME [--direct=LIST] [options]
  waxwing-load --direct=LIST [options]
  waxwing-load (--help | --version)

Options:
  --steer=LIST          Where to ask for addresses, HOST:PORT with commas.
  --service=NAME        Service to call through the entry instances.
  --direct=LIST         Backend servers; with --steer every other call goes
                        straight to one of them, for comparison.
  --path=PATH           Path of reads below the service [default: /].
  --write-path=PATH     Path of at-most-once calls (POST) [default: /].
  --write-fraction=F    Part of the calls that are at-most-once [default: 0].
  --body-bytes=N        Body of an at-most-once call [default: 64].
  --tenant=NAME         Tenant that the callers belong to.
  --data-centre=NAME    Data centre that the callers tell when they ask.
  --callers=N           Callers, each with kept addresses [default: 50].
  --schedule=KIND       fixed, poisson or burst [default: poisson].
  --rate=R              Calls a second of all callers [default: 100].
  --burst-every-ms=N    Every caller calls within 3 ms, then again after N ms
                        [default: 1000].
  --calls=N             Most calls [default: 1000].
  --seconds=S           Most seconds of sending [default: 10].
  --deadline-ms=N       Time a caller gives its call [default: 2000].
  --attempts=N          Most attempts for one call [default: 4].
  --open-limit=N        Most calls in flight [default: 5000].
  --seed=N              Of times, callers and paths [default: 1].
  --expect-echo         Every answer must repeat its request's X-Request-Id in
                        that header and in its body, as the stand-ins' do.
  --history=FILE        Append what was asked and answered, as JSON lines.
  --json                Print JSON in place of a table.
  --allow-non-loopback  Permit addresses other than 127.0.0.0/8.
  --version             Print the version and end.
  --help                Print this and end.

Latencies count from the moment a call was due to be sent. Exit codes: 0 every
call has an answer of its own or a stated refusal, 1 some have not, 2 usage,
4 cannot start.
)";

namespace {

using given_options = std::map<std::string, docopt::value>;

constexpr std::uint64_t most_calls = 10'000'000;
constexpr double most_seconds = 3600;
constexpr double most_rate = 100'000;
constexpr std::uint64_t most_callers = 100'000;
constexpr std::uint64_t most_body_bytes = 1024 * 1024;
constexpr std::uint64_t most_open = 20'000;
constexpr std::uint64_t most_attempts = 100;
constexpr std::uint64_t most_ms = 600'000;
constexpr unsigned loopback_net = 127;

error bad_option(const std::string& name, const std::string& expected) {
    return {error_code::invalid_argument, "read options", name,
            "expected " + expected};
}

// Collects the first problem so that options read one a line.
class option_reader {
public:
    explicit option_reader(const given_options& given) : given_(given) {}

    std::string text(const std::string& name) const {
        const auto& value = given_.at(name);
        return value ? value.asString() : "";
    }

    double real(const std::string& name, double low, double high) {
        const auto value = text(name);
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        const bool whole = !value.empty() && *end == '\0';
        if (!whole || !(number >= low && number <= high)) {
            complain(name, "a number from " + std::to_string(low) + " to " +
                               std::to_string(high));
        }
        return number;
    }

    std::uint64_t count(const std::string& name, std::uint64_t low,
                        std::uint64_t high) {
        const auto value = text(name);
        const bool digits =
            !value.empty() && value.size() <= 18 &&
            value.find_first_not_of("0123456789") == std::string::npos;
        const auto number =
            digits ? std::strtoull(value.c_str(), nullptr, 10) : 0;
        if (!digits || number < low || number > high) {
            complain(name, "a whole number from " + std::to_string(low) +
                               " to " + std::to_string(high));
        }
        return number;
    }

    std::vector<endpoint> endpoints(const std::string& name) {
        const auto list = text(name);
        std::vector<endpoint> found;
        std::size_t begin = 0;
        while (begin < list.size()) {
            const auto end = std::min(list.find(',', begin), list.size());
            found.push_back(
                one_endpoint(name, list.substr(begin, end - begin)));
            begin = end + 1;
        }
        return found;
    }

    std::string path(const std::string& name) {
        auto value = text(name);
        if (value.empty() || value.front() != '/') {
            complain(name, "a path that begins with '/'");
        }
        return value;
    }

    schedule_kind schedule(const std::string& name) {
        static const std::map<std::string, schedule_kind> kinds = {
            {"fixed", schedule_kind::fixed},
            {"poisson", schedule_kind::poisson},
            {"burst", schedule_kind::burst}};
        const auto found = kinds.find(text(name));
        if (found == kinds.end()) {
            complain(name, "fixed, poisson or burst");
            return schedule_kind::fixed;
        }
        return found->second;
    }

    void complain(const std::string& name, const std::string& expected) {
        if (problem_.code != error_code::invalid_argument) {
            problem_ = bad_option(name, expected);
        }
    }

    bool failed() const {
        return problem_.code == error_code::invalid_argument;
    }
    const error& problem() const { return problem_; }

private:
    endpoint one_endpoint(const std::string& name, const std::string& word) {
        const auto colon = word.find(':');
        const auto host = word.substr(0, colon);
        in_addr parsed{};
        if (colon == std::string::npos ||
            inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
            complain(name, "HOST:PORT with an IP number, not " + word);
            return {};
        }
        const auto port = std::strtoul(word.c_str() + colon + 1, nullptr, 10);
        if (port == 0 || port > UINT16_MAX) {
            complain(name, "a port from 1 to 65535 in " + word);
        }
        return {host, static_cast<std::uint16_t>(port)};
    }

    const given_options& given_;
    error problem_;
};

} // namespace

result<load_options> read_load_options(const given_options& given) {
    using std::chrono::milliseconds;
    option_reader reader(given);
    load_options options;
    options.steers = reader.endpoints("--steer");
    options.direct = reader.endpoints("--direct");
    options.service = reader.text("--service");
    options.read_path = reader.path("--path");
    options.write_path = reader.path("--write-path");
    options.write_fraction = reader.real("--write-fraction", 0, 1);
    options.body_bytes = reader.count("--body-bytes", 0, most_body_bytes);
    options.tenant = reader.text("--tenant");
    options.data_centre = reader.text("--data-centre");
    options.callers = reader.count("--callers", 1, most_callers);
    options.schedule = reader.schedule("--schedule");
    options.rate = reader.real("--rate", 0.001, most_rate);
    options.burst_period =
        milliseconds(reader.count("--burst-every-ms", 1, most_ms));
    options.calls = reader.count("--calls", 1, most_calls);
    options.length =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            reader.real("--seconds", 0.001, most_seconds)));
    options.deadline = milliseconds(reader.count("--deadline-ms", 1, most_ms));
    options.attempts =
        static_cast<unsigned>(reader.count("--attempts", 1, most_attempts));
    options.open_limit = reader.count("--open-limit", 1, most_open);
    options.seed = reader.count("--seed", 0, UINT64_MAX);
    options.expect_echo = given.at("--expect-echo").asBool();
    options.json = given.at("--json").asBool();
    options.allow_non_loopback = given.at("--allow-non-loopback").asBool();
    options.history_file = reader.text("--history");
    if (!options.steers.empty() && options.service.empty()) {
        reader.complain("--service", "a name beside --steer");
    }
    if (reader.failed()) {
        return reader.problem();
    }
    for (const auto* list : {&options.steers, &options.direct}) {
        for (const auto& to : *list) {
            auto allowed = check_address(options, to);
            if (!allowed) {
                return allowed.error();
            }
        }
    }
    return options;
}

result<void> check_address(const load_options& options, const endpoint& to) {
    in_addr parsed{};
    const bool readable = inet_pton(AF_INET, to.host.c_str(), &parsed) == 1;
    constexpr unsigned first_octet_shift = 24;
    const bool loopback =
        readable && ntohl(parsed.s_addr) >> first_octet_shift == loopback_net;
    if (loopback || (readable && options.allow_non_loopback)) {
        return success();
    }
    return error{error_code::refused, "check address", to.host,
                 "not a loopback address; --allow-non-loopback permits it"};
}

} // namespace waxwingvale::load
