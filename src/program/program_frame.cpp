#include <waxwingvale/program/program_frame.hpp>

#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/stat.h>
#include <tuple>
#include <utility>
#include <vector>

#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/program/overload_log.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/state_log.hpp>
#include <waxwingvale/program/turn_log.hpp>

namespace waxwingvale::program {

namespace {

std::string usage_of(const program_description& program) {
    return program.name + ": " + program.summary + R"(

Usage:
  )" + program.name +
           R"( --settings=FILE [--check-settings]
  )" + program.name +
           R"( (--help | --version)

Options:
  --settings=FILE   Settings, JSON with comments.
  --check-settings  Check the settings, print what is wrong, and end.
  --version         Print the version and end.
  --help            Print this and end.

Exit codes: 0 ok, 2 usage, 3 settings not valid, 4 cannot start,
5 stopped with requests in flight, 6 internal fault.
)";
}

int as_int(exit_code code) {
    return static_cast<int>(code);
}

// The parsed command line, or the code with which to end at once.
struct command_line {
    std::map<std::string, docopt::value> options;
    std::optional<exit_code> end;
};

command_line parse_command_line(int argc, char** argv,
                                const program_description& program) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto usage = usage_of(program);
    constexpr bool show_help = true;
    try {
        return {docopt::docopt_parse(usage, arguments, show_help, true), {}};
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return {{}, exit_code::ok};
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << program.name << ' ' << version() << '\n';
        return {{}, exit_code::ok};
    } catch (const std::runtime_error& failure) {
        std::cerr << failure.what() << '\n' << usage;
        return {{}, exit_code::usage};
    }
}

int print_settings_check(const std::string& file_name) {
    const auto text = read_file(file_name, settings_size_limit);
    if (!text) {
        std::cerr << to_string(text.error()) << '\n';
        return as_int(exit_code::settings);
    }
    const auto problems = check_settings(text.value(), file_name);
    for (const auto& problem : problems) {
        std::cerr << to_string(problem) << '\n';
    }
    if (!problems.empty()) {
        return as_int(exit_code::settings);
    }
    const auto loaded = load_settings(file_name);
    if (!loaded) {
        std::cerr << to_string(loaded.error()) << '\n';
        return as_int(exit_code::settings);
    }
    std::cout << file_name << ": ok\n";
    return as_int(exit_code::ok);
}

// The settings file may change without a signal; it is looked at this often.
constexpr duration file_check_period = std::chrono::seconds(1);

// A file, and whether it was replaced or written since it was last looked at.
class watched_file {
public:
    explicit watched_file(std::string name) : name_(std::move(name)) {
        changed();
    }

    const std::string& name() const { return name_; }

    bool changed() {
        struct stat found {};
        if (::stat(name_.c_str(), &found) != 0) {
            return false; // it may be on its way; what was read stays
        }
        const auto seen =
            std::make_tuple(found.st_ino, found.st_size, found.st_mtim.tv_sec,
                            found.st_mtim.tv_nsec);
        const bool differs = seen != seen_;
        seen_ = seen;
        return differs;
    }

private:
    std::string name_;
    std::tuple<ino_t, off_t, time_t, long> seen_{};
};

// Runs one program on one loop from start to stop.
class program_run {
public:
    program_run(const program_description& program, settings given,
                const std::string& file_name)
        : program_(program), settings_(std::move(given)), file_(file_name) {}

    exit_code run() {
        services_.provide(service_name::timers, timers_).value();
        environment_metrics_
            .add_gauge("waxwing_build_info", "Version of this program.",
                       {{"version", version()}, {"program", program_.name}})
            .set(1);
        const auto plan = plan_resources(settings_, granted_descriptors());
        auto guard = std::make_shared<forwarding::overload_guard>(
            loop_, timers_,
            forwarding::overload_guard::limits{plan.held_bytes,
                                               plan.spared_bytes});
        guard->on_turned_away([this](const forwarding::turned_away& what) {
            turned_away_.record(what);
        });
        running_ = program_.create({settings_, loop_, timers_, services_,
                                    environment_metrics_, plan, guard});
        // Before anybody can know of the process: a signal that nothing takes
        // ends it at once, and with it whatever it has begun.
        loop_.on_termination([this] { begin_stop(); });
        loop_.on_hangup([this] { reload(); });
        auto ports = running_->start();
        if (!ports) {
            log_warning("cannot_start", {{"error", to_string(ports.error())}});
            return exit_code::cannot_start;
        }
        std::cout << ready_line(program_.name, ports.value()) << std::endl;
        log_change("started", {{"version", version()}});
        file_check_ = timers_.every(file_check_period, [this](time_point) {
            if (file_.changed()) {
                reload();
            }
        });
        loop_.run();
        running_.reset();
        return code_;
    }

private:
    // A file that is not valid changes nothing: the process goes on as it is.
    void reload() {
        file_.changed(); // what is read now needs no second reading
        const auto loaded = load_settings(file_.name());
        if (!loaded) {
            log_warning("settings_refused",
                        {{"error", to_string(loaded.error())}});
            return;
        }
        settings_ = loaded.value();
        log_change("settings_reloaded");
        running_->reload(settings_);
    }

    void begin_stop() {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        log_change("stopping");
        drain_ =
            timers_.after(settings_.instance.drain_timeout, [this](time_point) {
                log_warning("drain_timed_out");
                end(exit_code::drain_timed_out);
            });
        // On the loop's next turn, so that the program may call back at once.
        running_->stop([this] { loop_.post([this] { end(exit_code::ok); }); });
    }

    void end(exit_code code) {
        if (ended_) {
            return;
        }
        ended_ = true;
        code_ = code;
        log_change("stopped");
        loop_.stop();
    }

    const program_description& program_;
    settings settings_;
    watched_file file_;
    kernel::event_loop loop_;
    kernel::monotonic_clock clock_;
    kernel::timer_service timers_{clock_, loop_};
    kernel::service_registry services_;
    metrics environment_metrics_;
    overload_log turned_away_{timers_, environment_metrics_};
    turn_log turns_{loop_, clock_, timers_, environment_metrics_};
    std::unique_ptr<server_program> running_;
    kernel::timer_service::subscription drain_;
    kernel::timer_service::subscription file_check_;
    bool stopping_ = false;
    bool ended_ = false;
    exit_code code_ = exit_code::ok;
};

} // namespace

const char* version() {
    return WAXWING_VERSION;
}

forwarding::caller_server_options
server_options(const program_environment& environment, std::uint16_t port,
               std::size_t connections) {
    forwarding::caller_server_options options;
    options.address = environment.settings.instance.host;
    options.port = port;
    options.guard = environment.guard;
    if (connections > 0) {
        options.connection_limit = connections;
        options.receive_buffer = environment.plan.receive_buffer;
    }
    return options;
}

result<std::unique_ptr<metrics_endpoint>>
serve_metrics(const program_environment& environment,
              std::optional<std::uint16_t> port, port_map& ports) {
    std::unique_ptr<metrics_endpoint> endpoint;
    if (!port) {
        return endpoint;
    }
    endpoint = std::make_unique<metrics_endpoint>(
        environment.loop, environment.timers, environment.metrics,
        server_options(environment, *port, environment.plan.probes));
    auto started = endpoint->start();
    if (!started) {
        return started.error();
    }
    ports["metrics"] = endpoint->port();
    return endpoint;
}

std::string ready_line(const std::string& program, const port_map& ports) {
    return nlohmann::ordered_json{
        {"ready", true}, {"program", program}, {"ports", ports}}
        .dump();
}

int run_program(int argc, char** argv, const program_description& program) {
    const auto line = parse_command_line(argc, argv, program);
    if (line.end) {
        return as_int(*line.end);
    }
    const auto file_name = line.options.at("--settings").asString();
    if (line.options.at("--check-settings").asBool()) {
        return print_settings_check(file_name);
    }
    const auto loaded = load_settings(file_name);
    if (!loaded) {
        std::cerr << to_string(loaded.error()) << '\n';
        return as_int(exit_code::settings);
    }
    start_log(program.name, loaded.value().instance.name);
    return as_int(program_run(program, loaded.value(), file_name).run());
}

} // namespace waxwingvale::program
