#include "standin/changing_fleet.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "standin/http_request_once.hpp"
#include "standin/unknown_route.hpp"

namespace waxwingvale::standin {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration ask_period = 25ms;
constexpr duration poll_period = 100ms;
constexpr duration answer_limit = 2s;
// A file is in force everywhere so soon after the platform has taken it, or
// after what kept an instance from it has ended.
constexpr duration in_force_within = 2s;
// An instance counts as undisturbed so long after the end of a trouble.
constexpr duration calm_after = 3s;
constexpr std::size_t faults_told = 12;
constexpr int backend_slots = 64;
constexpr std::size_t backend_count = 64;

control_fleet_options options_of(unsigned instances) {
    control_fleet_options options;
    options.instances = instances;
    options.readers = 1;
    options.relays = true;
    return options;
}

long milliseconds_of(duration time) {
    return static_cast<long>(time / 1ms);
}

std::vector<std::uint16_t> ports_in(const json& ready) {
    std::vector<std::uint16_t> ports;
    for (const auto& each : ready.at("servers")) {
        ports.push_back(each.at("port").get<std::uint16_t>());
    }
    return ports;
}

bool turns_away(unsigned status) {
    constexpr std::array<unsigned, 3> apart{408, 421, 429};
    return status >= 300 && status < 500 &&
           std::find(apart.begin(), apart.end(), status) == apart.end();
}

} // namespace

changing_fleet::changing_fleet(unsigned instances, duration period,
                               unsigned seed)
    : period_(period),
      random_(seed),
      files_(seed),
      instances_(instances),
      backends_("standin-backend",
                {"--service-ms=1", "--queue=200",
                 "--slots=" + std::to_string(backend_slots),
                 "--count=" + std::to_string(backend_count)}),
      backend_ports_(ports_in(backends_.read_ready())),
      fleet_(options_of(instances)) {}

void changing_fleet::start() {
    publish();
    fleet_.start_all();
    const auto whole = [&](const view& seen) {
        return seen.members.size() == instances_.size() &&
               seen.published.revision == files_.all().back().revision;
    };
    if (!fleet_.run_until_all(whole)) {
        std::string told = "the fleet does not come together";
        for (unsigned each = 0; each < instances_.size(); ++each) {
            told += "\n" + fleet_.describe(each);
        }
        throw std::runtime_error(told);
    }
    started_ = fleet_.now();
    for (auto& each : instances_) {
        each.runs = true;
        each.calm_since = started_;
    }
}

void changing_fleet::go_on(duration time) {
    auto& timers = fleet_.timers();
    const auto changing =
        timers.every(period_, [this](time_point) { publish(); });
    const auto asking =
        timers.every(ask_period, [this](time_point) { ask_all(); });
    const auto polling =
        timers.every(poll_period, [this](time_point) { poll_all(); });
    fleet_.run_for(time);
}

// An operator waits for one file to be taken before the next.
void changing_fleet::publish() {
    if (!files_.newest_is_taken()) {
        return;
    }
    const auto& file = files_.next(fleet_.now());
    fleet_.publish("configuration", file_text(file), file.revision,
                   [this, revision = file.revision] {
                       files_.taken(revision, fleet_.now());
                   });
}

std::string changing_fleet::file_text(const published_files::file& of) const {
    auto file = json::parse(fleet_configuration(1, "leagues"));
    const auto like = file["services"][0];
    file["services"] = json::array();
    const auto& ports = backend_ports_;
    for (const auto& name : of.services) {
        auto service = like;
        service["name"] = name;
        auto& server = service["backend_servers"][0];
        server["name"] = "of-" + name;
        server["port"] =
            ports.at(published_files::place_of(name, ports.size()));
        server["slots"] = backend_slots;
        file["services"].push_back(std::move(service));
    }
    return file.dump();
}

void changing_fleet::ask_all() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        ask(each);
    }
}

// All of these are proper ways to ask the same service.
std::string changing_fleet::any_target(const std::string& service) {
    constexpr std::array<const char*, 6> rests{"/",     "",         "?day=a/b",
                                               "/a//b", "/a%2Fb/c", "/x?y=%3F"};
    const auto rest = std::uniform_int_distribution<std::size_t>(
        0, rests.size() - 1)(random_);
    return "/" + service + rests.at(rest);
}

changing_fleet::question changing_fleet::question_to(unsigned instance) {
    question asked;
    asked.instance = instance;
    asked.life = instances_[instance].life;
    asked.service = files_.any_service();
    asked.sent = fleet_.now();
    return asked;
}

void changing_fleet::send(const question& asked, std::uint16_t port) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = port;
    call.target = asked.target;
    call.timeout = answer_limit;
    fleet_.send(std::move(call), [this, asked](io::http_call_result ended) {
        if (ended.response) {
            take_answer(asked, ended.response.value());
        }
    });
}

void changing_fleet::ask(unsigned instance) {
    auto asked = question_to(instance);
    asked.target = any_target(asked.service);
    send(asked, fleet_.caller_port(instance));
}

void changing_fleet::ask_addresses(unsigned instance) {
    auto asked = question_to(instance);
    asked.target = "/v1/addresses?service=" + asked.service;
    send(asked, fleet_.steer_port(instance));
}

void changing_fleet::take_answer(const question& asked,
                                 const io::http_response& answer) {
    seen_.served += answer.status == 200 ? 1 : 0;
    if (answer.status == 503) {
        ++seen_.unavailable;
        const auto* reason = io::find_header(answer.headers, "Waxwing-Reason");
        const bool told_when =
            io::find_header(answer.headers, "Retry-After") != nullptr;
        if (reason != nullptr && *reason == "no-configuration" && !told_when) {
            fault(asked, "no configuration, and no word when to come back");
        }
    }
    const bool no_route = knows_no_route(answer);
    if (!no_route && !turns_away(answer.status)) {
        return;
    }
    const bool always_allowed = published_files::stays(asked.service);
    const bool allowed =
        undisturbed_for(asked.instance, calm_after, asked.sent) &&
        files_.allowed_by_all(asked.service, asked.sent - in_force_within,
                              fleet_.now());
    if (always_allowed || allowed || !no_route) {
        fault(asked, std::to_string(answer.status));
    } else {
        ++seen_.not_found;
    }
}

void changing_fleet::poll_all() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (!instances_[each].runs) {
            continue;
        }
        ask_addresses(each);
        auto asked = question_to(each);
        asked.target = "/v1/status";
        fleet_.send(fleet_.admin_call(each, asked.target),
                    [this, asked](const io::http_call_result& ended) {
                        const auto text = body_of(ended);
                        if (!text.empty()) {
                            take_revision(asked, json::parse(text)
                                                     .at("configuration")
                                                     .at("revision_in_force")
                                                     .get<std::uint64_t>());
                        }
                    });
    }
}

void changing_fleet::take_revision(const question& asked,
                                   std::uint64_t revision) {
    auto& of = instances_[asked.instance];
    if (of.life != asked.life) {
        return;
    }
    ++seen_.polls;
    // A poll that was answered late may tell less than one that came before.
    if (revision < of.revision && fleet_.now() - asked.sent < poll_period) {
        fault(asked, "went back from " + std::to_string(of.revision) + " to " +
                         std::to_string(revision));
    }
    of.revision = std::max(of.revision, revision);
    if (!undisturbed_for(asked.instance, in_force_within, asked.sent)) {
        return;
    }
    const auto superseded = files_.superseded(revision);
    if (superseded && asked.sent - *superseded > seen_.longest_lag) {
        seen_.longest_lag = asked.sent - *superseded;
        seen_.lagged_longest = place_of(asked);
    }
    const auto* due = files_.newest_taken(asked.sent - in_force_within);
    if (due != nullptr && revision < due->revision) {
        fault(asked, "revision " + std::to_string(revision) + " in force, " +
                         std::to_string(due->revision) + " expected");
    }
}

bool changing_fleet::undisturbed_for(unsigned instance, duration time,
                                     time_point at) const {
    const auto& of = instances_[instance];
    return !of.troubled && at - of.calm_since >= time;
}

void changing_fleet::fault(const question& asked, const std::string& what) {
    ++seen_.faults;
    if (seen_.first_faults.size() < faults_told) {
        seen_.first_faults.push_back(place_of(asked) + ", " + asked.target +
                                     ": " + what);
    }
}

std::string changing_fleet::place_of(const question& asked) const {
    return fleet_.name_of(asked.instance) + " at " +
           std::to_string(milliseconds_of(asked.sent - started_)) + " ms";
}

unsigned changing_fleet::reader() {
    const auto reads = [this] {
        std::vector<double> counted;
        for (unsigned each = 0; each < instances_.size(); ++each) {
            const auto text =
                body_of(http_get(fleet_.admin_port(each), "/metrics"));
            counted.push_back(
                metric_in(text, "waxwing_platform_reads_total").value_or(0));
        }
        return counted;
    };
    const auto before = reads();
    go_on(1s);
    auto grown = reads();
    for (std::size_t each = 0; each < grown.size(); ++each) {
        grown[each] -= before[each];
    }
    const auto most = std::max_element(grown.begin(), grown.end());
    return static_cast<unsigned>(std::distance(grown.begin(), most));
}

unsigned changing_fleet::other_than(unsigned instance) const {
    return (instance + 1) % static_cast<unsigned>(instances_.size());
}

void changing_fleet::begin_trouble(unsigned instance) {
    instances_[instance].troubled = true;
}

void changing_fleet::end_trouble(unsigned instance) {
    instances_[instance].troubled = false;
    instances_[instance].calm_since = fleet_.now();
}

void changing_fleet::begin_trouble_everywhere() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        begin_trouble(each);
    }
}

void changing_fleet::end_trouble_everywhere() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        end_trouble(each);
    }
}

void changing_fleet::kill(unsigned instance) {
    begin_trouble(instance);
    auto& of = instances_[instance];
    of.runs = false;
    ++of.life;
    of.revision = 0;
    fleet_.process(instance).kill();
}

void changing_fleet::start_again(unsigned instance) {
    fleet_.start_again(instance);
    instances_[instance].runs = true;
    end_trouble(instance);
}

std::string changing_fleet::describe() const {
    std::ostringstream told;
    told << files_.all().size() << " files; served " << seen_.served
         << ", not found " << seen_.not_found << ", unavailable "
         << seen_.unavailable << "; polls " << seen_.polls << ", longest lag "
         << milliseconds_of(seen_.longest_lag) << " ms ("
         << seen_.lagged_longest << "); faults " << seen_.faults;
    for (const auto& each : seen_.first_faults) {
        told << "\n  " << each;
    }
    return told.str();
}

} // namespace waxwingvale::standin
