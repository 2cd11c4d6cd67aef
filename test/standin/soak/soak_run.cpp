#include "standin/soak/soak_run.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "standin/request_ends.hpp"

namespace waxwingvale::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Exit codes of a process that was told to stop: in order, or with requests
// that did not end within its bound.
constexpr int stopped_in_order = 0;
constexpr int stopped_late = 5;

fleet_options options_of(const soak_plan& plan) {
    fleet_options options;
    options.entry_instances = plan.entry_instances;
    options.backend_servers = plan.backend_servers;
    options.backend_options = {"--service-ms=10"};
    return options;
}

} // namespace

soak_run::soak_run(const soak_plan& plan)
    : plan_(plan),
      fleet_(options_of(plan)),
      told_to_stop_(plan.entry_instances),
      backend_down_(plan.backend_servers) {
    request_ends::of_instances().clear(); // of an earlier plan
    make_relays();
    events_.write({{"event", "soak_began"}}); // so that there is a file
}

// One relay before each instance's peer port, then one before each backend
// server, which the configuration names in its place.
void soak_run::make_relays() {
    std::vector<std::string> words;
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        words.push_back("--to=" +
                        std::to_string(fleet_.instance(i).control_port()));
    }
    for (std::size_t i = 0; i < plan_.backend_servers; ++i) {
        words.push_back("--to=" + std::to_string(fleet_.backend(i).port()));
    }
    relay_ = std::make_unique<child_process>("standin-relay", words);
    relay_ready_ = relay_->read_ready();
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        fleet_.instance(i).list_peer_port(
            relay_ready_.at("routes").at(i).at("port").get<std::uint16_t>());
    }
}

soak_run::handlers soak_run::handlers_of(fault_kind kind) {
    static const std::array<handlers, static_cast<std::size_t>(
                                          fault_kind::count_of_kinds)>
        table = {{{&soak_run::kill_instance, &soak_run::start_instance},
                  {&soak_run::stop_instance, &soak_run::start_instance},
                  {&soak_run::pause_instance, &soak_run::resume_instance},
                  {&soak_run::kill_backend, &soak_run::start_backend},
                  {&soak_run::pause_backend, &soak_run::resume_backend},
                  {&soak_run::slow_backend, &soak_run::quicken_backend},
                  {&soak_run::platform_down, &soak_run::platform_up},
                  {&soak_run::platform_slow, &soak_run::platform_up},
                  {&soak_run::platform_stale, &soak_run::platform_up},
                  {&soak_run::peers_cut, &soak_run::peers_pass},
                  {&soak_run::peers_reset, &soak_run::peers_pass},
                  {&soak_run::peers_slow, &soak_run::peers_pass},
                  {&soak_run::backend_cut, &soak_run::backend_pass},
                  {&soak_run::backend_silent, &soak_run::backend_pass},
                  {&soak_run::backend_reset, &soak_run::backend_pass},
                  {&soak_run::publish, &soak_run::nothing},
                  {&soak_run::limit_backend, &soak_run::end_terms},
                  {&soak_run::tire_backend, &soak_run::end_terms}}};
    return table.at(static_cast<std::size_t>(kind));
}

std::vector<soak_run::moment> soak_run::timeline() const {
    std::vector<moment> moments;
    for (const auto& fault : plan_.faults) {
        const auto does = handlers_of(fault.kind);
        moments.push_back({fault.at, does.begin, fault.target});
        moments.push_back({fault.at + fault.lasts, does.end, fault.target});
    }
    std::stable_sort(
        moments.begin(), moments.end(),
        [](const moment& a, const moment& b) { return a.at < b.at; });
    return moments;
}

void soak_run::follow_timeline() {
    const auto start = std::chrono::steady_clock::now();
    for (const auto& each : timeline()) {
        std::this_thread::sleep_until(start + each.at);
        (this->*each.does)(each.target);
    }
    std::this_thread::sleep_until(start + plan_.length);
}

std::vector<std::string> soak_run::play() {
    auto configuration = fleet_.configuration();
    auto& servers = configuration["services"][0]["backend_servers"];
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i]["port"] =
            relay_ready_.at("routes").at(plan_.entry_instances + i).at("port");
    }
    fleet_.publish(configuration);
    fleet_.publish_instances();
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        fleet_.instance(i).start();
    }
    fleet_.wait_until_serving();
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(plan_.length).count();
    auto load = fleet_.start_load(
        {"--calls=" + std::to_string(plan_.calls_per_second * seconds),
         "--rate=" + std::to_string(plan_.calls_per_second), "--attempts=20",
         "--write-fraction=" + std::to_string(plan_.write_fraction),
         "--seed=" + std::to_string(plan_.seed), "--history=" + callers_file_});
    follow_timeline();
    heal();
    check_load(load);
    check_healed();
    check_history();
    stop_all();
    check_request_ends();
    return broken_;
}

void soak_run::heal() {
    set_routes("pass", 0, plan_.entry_instances + plan_.backend_servers);
    fleet_.platform().fault("up");
    for (std::size_t i = 0; i < plan_.backend_servers; ++i) {
        resume_backend(i);
        quicken_backend(i);
        end_terms(i);
        start_backend(i);
    }
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        resume_instance(i);
        start_instance(i);
    }
}

// Whatever has happened, all serve again, by the newest configuration.
void soak_run::check_healed() {
    const auto revision = fleet_.platform().publish("configuration", [this] {
        auto changed = fleet_.configuration();
        changed["request_keys"]["limit"] = 90'000;
        return changed.dump();
    }());
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        auto& each = fleet_.instance(i);
        if (!wait_until([&] { return fleet_.serves(each); })) {
            broke(each.name() + " does not serve after all is healed: " +
                  fleet_.read_answer(each));
        }
        if (!wait_until([&] { return each.revision_in_force() == revision; })) {
            broke(each.name() + " has not the newest configuration");
        }
    }
}

void soak_run::check_load(child_process& load) {
    const auto report = finish_load(load);
    summary_ = report.through.at("ends").dump();
    if (report.ended("foreign") != 0) {
        broke("a caller got another one's answer: " + summary_);
    }
    if (!plan_.may_lose_answers() && report.ended("lost") != 0) {
        broke("a caller got no answer: " + summary_);
    }
    if (report.ended("answered") == 0) {
        broke("no call was answered: " + summary_);
    }
}

// What the files say of the request that a broken promise names, so that a
// failure which shows once can be traced.
std::string soak_run::events_of(const std::string& broken) const {
    const auto begin = broken.find("us: ");
    if (begin == std::string::npos) {
        return {};
    }
    const auto from = begin + std::string("us: ").size();
    const auto request = broken.substr(from, broken.find(' ', from) - from);
    std::string events;
    for (const auto& file :
         {callers_file_, events_file_, fleet_.history_file_name()}) {
        std::ifstream lines(file);
        for (std::string line; std::getline(lines, line);) {
            if (line.find(request + "\"") != std::string::npos) {
                events += "\n      " + line;
            }
        }
    }
    return events;
}

void soak_run::check_history() {
    child_process checker("waxwing-history",
                          {"check", "--probe-rate=1000", callers_file_,
                           events_file_, fleet_.history_file_name()});
    std::istringstream lines(checker.read_rest());
    for (std::string line; std::getline(lines, line);) {
        const bool excused =
            plan_.may_lose_answers() && line.rfind("broken answered ", 0) == 0;
        if (line.rfind("broken ", 0) == 0 && !excused) {
            broke(line + events_of(line));
        }
    }
    const auto code = checker.wait().value_or(-1);
    if (code != 0 && code != 1) {
        broke("the history cannot be read, code " + std::to_string(code));
    }
}

// All have ended in order then, and written what they had to tell.
void soak_run::stop_all() {
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        fleet_.instance(i).process().signal(SIGTERM);
    }
    for (std::size_t i = 0; i < plan_.entry_instances; ++i) {
        check_end_of(fleet_.instance(i));
    }
}

void soak_run::check_end_of(entry_instance_process& stopped) {
    const auto code = stopped.process().wait();
    if (!code) {
        broke(stopped.name() + " does not end after SIGTERM");
        return;
    }
    const bool in_order = *code == stopped_in_order || *code == stopped_late ||
                          *code == 128 + SIGKILL;
    if (!in_order) {
        broke(stopped.name() + " ended by itself with code " +
              std::to_string(*code));
    }
}

// No fault explains such an end: the time that an instance has to stop is
// longer than the time of any call and all faults of a plan, so that also one
// that is stopped beside paused backend servers can answer all that it read.
void soak_run::check_request_ends() {
    auto& ends = request_ends::of_instances();
    for (const auto& line : ends.take_instances_doing()) {
        broke("an instance ended a request: " + line);
    }
    if (ends.lines_were_dropped()) {
        summary_ += ", lines dropped, ends not counted";
    } else if (plan_.may_lose_lines()) {
        summary_ += ", instances killed, ends not counted";
    } else {
        check_count_of_ends();
    }
}

// Each answer that a caller got has one line. Of other requests nobody can
// tell here whether an instance read or answered them.
void soak_run::check_count_of_ends() {
    const auto lines = request_ends::of_instances().ended("answered");
    const auto attempts = run_history(callers_file_).attempts();
    const auto most = attempts.sent + fleet_.reads();
    const auto told = std::to_string(lines) + " lines of answered requests, " +
                      std::to_string(attempts.answered) + " answers, " +
                      std::to_string(most) + " requests sent";
    if (lines < attempts.answered || lines > most) {
        broke("not one line for each request: " + told);
    }
    summary_ += ", " + told;
}

entry_instance_process& soak_run::instance(std::size_t target) {
    return fleet_.instance(target % plan_.entry_instances);
}

backend_process& soak_run::backend(std::size_t target) {
    return fleet_.backend(target % plan_.backend_servers);
}

bool soak_run::is_up(std::size_t target) {
    return instance(target).process().running();
}

void soak_run::kill_instance(std::size_t target) {
    if (is_up(target)) {
        instance(target).process().kill();
        events_.write(
            {{"event", "entry_stopped"}, {"who", instance(target).name()}});
    }
}

void soak_run::stop_instance(std::size_t target) {
    if (is_up(target)) {
        instance(target).process().signal(SIGTERM);
        told_to_stop_[target % plan_.entry_instances] = true;
        events_.write(
            {{"event", "entry_stopping"}, {"who", instance(target).name()}});
    }
}

// Begins a new process when the former one was killed or told to stop. One
// that runs on, since another fault had its start first, is left alone.
void soak_run::start_instance(std::size_t target) {
    auto& each = instance(target);
    each.process().signal(SIGCONT);
    auto&& told_to_stop = told_to_stop_[target % plan_.entry_instances];
    if (is_up(target) && !told_to_stop) {
        return;
    }
    check_end_of(each);
    if (is_up(target)) {
        return;
    }
    told_to_stop = false;
    each.start();
}

void soak_run::pause_instance(std::size_t target) {
    instance(target).process().signal(SIGSTOP);
}

void soak_run::resume_instance(std::size_t target) {
    instance(target).process().signal(SIGCONT);
}

void soak_run::kill_backend(std::size_t target) {
    backend(target).process().kill();
    backend_down_[target % plan_.backend_servers] = true;
}

void soak_run::start_backend(std::size_t target) {
    auto&& down = backend_down_[target % plan_.backend_servers];
    if (down) {
        backend(target).restart();
        down = false;
    }
}

void soak_run::pause_backend(std::size_t target) {
    backend(target).process().signal(SIGSTOP);
}

void soak_run::resume_backend(std::size_t target) {
    backend(target).process().signal(SIGCONT);
}

void soak_run::command_backend(std::size_t target, const std::string& fault) {
    if (!backend_down_[target % plan_.backend_servers]) {
        resume_backend(target); // one that is paused takes no command
        backend(target).fault(fault);
    }
}

void soak_run::slow_backend(std::size_t target) {
    command_backend(target, "straggle=20");
}

void soak_run::quicken_backend(std::size_t target) {
    command_backend(target, "straggle=1");
}

void soak_run::limit_backend(std::size_t target) {
    command_backend(target, "limit=1");
}

void soak_run::tire_backend(std::size_t target) {
    command_backend(target, "rest=1");
}

void soak_run::end_terms(std::size_t target) {
    command_backend(target, "limit=none&rest=none");
}

void soak_run::platform_down(std::size_t) {
    fleet_.platform().fault("down");
}

void soak_run::platform_slow(std::size_t) {
    fleet_.platform().fault("slow&ms=400");
}

void soak_run::platform_stale(std::size_t) {
    fleet_.platform().fault("stale");
}

void soak_run::platform_up(std::size_t) {
    fleet_.platform().fault("up");
}

void soak_run::set_routes(const std::string& mode, std::size_t first,
                          std::size_t count) const {
    for (auto route = first; route < first + count; ++route) {
        http_post(relay_ready_.at("port").get<std::uint16_t>(),
                  "/control/route?mode=" + mode +
                      "&route=" + std::to_string(route));
    }
}

void soak_run::peers_cut(std::size_t target) {
    set_routes("blackhole", target % plan_.entry_instances, 1);
}

void soak_run::peers_reset(std::size_t target) {
    set_routes("drop", target % plan_.entry_instances, 1);
}

void soak_run::peers_slow(std::size_t target) {
    set_routes("pass&delay_ms=150", target % plan_.entry_instances, 1);
}

void soak_run::peers_pass(std::size_t target) {
    set_routes("pass&delay_ms=0", target % plan_.entry_instances, 1);
}

void soak_run::backend_cut(std::size_t target) {
    set_routes("blackhole",
               plan_.entry_instances + target % plan_.backend_servers, 1);
}

void soak_run::backend_silent(std::size_t target) {
    set_routes("silent", plan_.entry_instances + target % plan_.backend_servers,
               1);
}

void soak_run::backend_reset(std::size_t target) {
    set_routes("drop", plan_.entry_instances + target % plan_.backend_servers,
               1);
}

void soak_run::backend_pass(std::size_t target) {
    set_routes("pass&delay_ms=0",
               plan_.entry_instances + target % plan_.backend_servers, 1);
}

void soak_run::publish(std::size_t target) {
    auto changed = fleet_.configuration();
    auto& servers = changed["services"][0]["backend_servers"];
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i]["port"] =
            relay_ready_.at("routes").at(plan_.entry_instances + i).at("port");
    }
    changed["services"][0]["typical_time_ms"] = 5 + target % 20;
    fleet_.publish(changed);
}

} // namespace waxwingvale::standin
