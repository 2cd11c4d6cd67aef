#include "standin/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

const std::string service_name = "desk";
const std::vector<std::string> data_centres = {"sea", "pdx"};

io::http_call call_to(std::uint16_t port, const std::string& method,
                      const std::string& target) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = port;
    call.method = method;
    call.target = target;
    call.timeout = patience;
    return call;
}

json parsed_body(const io::http_call_result& ended) {
    const auto body = body_of(ended);
    return body.empty() ? json() : json::parse(body);
}

} // namespace

platform_process::platform_process()
    : process_("standin-platform", {}),
      port_(process_.read_ready().at("port").get<std::uint16_t>()) {}

std::uint64_t platform_process::publish(const std::string& name,
                                        const std::string& value,
                                        std::uint64_t revision) const {
    auto call = call_to(port_, "PUT",
                        "/control/values/" + name +
                            "?revision=" + std::to_string(revision));
    call.body = value;
    return parsed_body(http_request_once(std::move(call)))
        .at("revision")
        .get<std::uint64_t>();
}

void platform_process::fault(const std::string& mode) const {
    http_post(port_, "/control/fault?mode=" + mode);
}

json platform_process::counts() const {
    return parsed_body(http_get(port_, "/control/counts"));
}

backend_process::backend_process(std::string name,
                                 const std::vector<std::string>& options,
                                 const std::string& history)
    : name_(std::move(name)),
      options_(options),
      history_(history),
      port_(free_port()) {
    launch();
}

void backend_process::launch() {
    auto words = options_;
    words.push_back("--name=" + name_);
    words.push_back("--port=" + std::to_string(port_));
    words.push_back("--history=" + history_);
    process_ = std::make_unique<child_process>("standin-backend", words);
    process_->read_ready();
}

void backend_process::restart() {
    process_->kill();
    launch();
}

void backend_process::fault(const std::string& command) const {
    http_post(port_, "/-/fault?" + command);
}

json backend_process::load() const {
    return parsed_body(http_get(port_, "/-/load"));
}

json backend_process::runs() const {
    return parsed_body(http_get(port_, "/-/runs"));
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)), history_file_(folder_.file("runs.jsonl")) {
    auto words = options_.backend_options;
    words.push_back("--slots=" + std::to_string(options_.slots));
    for (unsigned i = 0; i < options_.backend_servers; ++i) {
        words.push_back("--seed=" + std::to_string(i + 1));
        backends_.push_back(std::make_unique<backend_process>(
            service_name + "-" + std::to_string(i + 1), words, history_file_));
        words.pop_back();
    }
    for (unsigned i = 0; i < options_.entry_instances; ++i) {
        add_instance();
    }
}

entry_instance_process& fleet::add_instance() {
    const auto number = instances_.size();
    const auto& centre = data_centres[number % data_centres.size()];
    instances_.push_back(std::make_unique<entry_instance_process>(
        centre + "-" + std::to_string(number + 1), centre, platform_.port(),
        folder_, options_.instance_settings));
    return *instances_.back();
}

void fleet::start() {
    start(configuration());
}

void fleet::start(const nlohmann::json& configuration) {
    publish(configuration);
    publish_instances();
    for (const auto& each : instances_) {
        each->start();
    }
    wait_until_serving();
}

entry_instance_process& fleet::instance(std::size_t index) {
    return *instances_.at(index);
}

backend_process& fleet::backend(std::size_t index) {
    return *backends_.at(index);
}

json fleet::configuration() const {
    auto servers = json::array();
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        servers.push_back(
            {{"name", backends_[i]->name()},
             {"host", "127.0.0.1"},
             {"port", backends_[i]->port()},
             {"data_centre", data_centres[i % data_centres.size()]},
             {"slots", options_.slots},
             {"connections", 100}});
    }
    const json look = {{"name", "look"},      {"methods", {"GET"}},
                       {"path_prefix", "/"},  {"nature", "retriable"},
                       {"deadline_ms", 5000}, {"queue_limit", 1000}};
    const json book = {{"name", "book"},      {"methods", {"POST"}},
                       {"path_prefix", "/"},  {"nature", "at_most_once"},
                       {"deadline_ms", 5000}, {"queue_limit", 1000}};
    const json service = {{"name", service_name},
                          {"typical_time_ms", 5},
                          {"owners", 2},
                          {"budgets",
                           {{"retries", 0.2},
                            {"hedges", options_.hedges},
                            {"probes_per_second", 2}}},
                          {"classes", {look, book}},
                          {"backend_servers", servers}};
    return {{"schema_version", 1},
            {"data_centres",
             {{{"name", "sea"}, {"region", "pacific-northwest"}},
              {{"name", "pdx"}, {"region", "pacific-northwest"}}}},
            {"tenants", {{{"name", "leagues"}, {"share", 1}}}},
            {"request_keys", {{"lifetime_ms", 600000}, {"limit", 100000}}},
            {"addresses", {{"keep_min_ms", 500}, {"keep_max_ms", 1500}}},
            {"services", {service}}};
}

std::uint64_t fleet::publish(const json& configuration) {
    return platform_.publish("configuration", configuration.dump(2));
}

void fleet::publish_instances(const std::vector<std::string>& leaving) {
    const auto state_of = [&](const std::string& name) {
        const bool leaves =
            std::find(leaving.begin(), leaving.end(), name) != leaving.end();
        return leaves ? "leaving" : "live";
    };
    auto instances = json::array();
    for (const auto& each : instances_) {
        instances.push_back(each->listed(state_of(each->name())));
    }
    auto servers = json::array();
    for (const auto& each : backends_) {
        servers.push_back({{"name", each->name()},
                           {"incarnation", 0},
                           {"state", state_of(each->name())}});
    }
    const json list = {{"entry_instances", instances},
                       {"backend_servers", servers}};
    platform_.publish("instances", list.dump());
}

bool fleet::serves(const entry_instance_process& by) const {
    const auto steer =
        http_get(by.steer_port(), "/v1/addresses?service=" + service_name);
    if (status_of(steer) != 200) {
        return false;
    }
    return status_of(read_once(by)) == 200;
}

io::http_call_result fleet::read_once(const entry_instance_process& by) const {
    ++reads_;
    return http_request_once(
        call_to(by.caller_port(), "GET", "/" + service_name + "/"));
}

std::string fleet::read_answer(const entry_instance_process& by) const {
    const auto ended = read_once(by);
    if (!ended.response) {
        return to_string(ended.response.error());
    }
    const auto& answer = ended.response.value();
    const auto* reason = io::find_header(answer.headers, "Waxwing-Reason");
    return std::to_string(answer.status) +
           (reason == nullptr ? "" : " " + *reason);
}

void fleet::wait_until_serving() {
    for (const auto& each : instances_) {
        if (!wait_until([&] { return serves(*each); })) {
            throw std::runtime_error(each->name() + " does not serve");
        }
    }
}

io::http_call fleet::read_call(std::size_t instance) const {
    auto call = call_to(instances_.at(instance)->caller_port(), "GET",
                        "/" + service_name + "/games");
    call.headers = {{"Waxwing-Tenant", "leagues"}};
    return call;
}

io::http_call fleet::book_call(std::size_t instance,
                               const std::string& key) const {
    auto call = call_to(instances_.at(instance)->caller_port(), "POST",
                        "/" + service_name + "/confirm");
    call.headers = {{"Waxwing-Tenant", "leagues"}, {"Idempotency-Key", key}};
    call.body = "confirm " + key;
    return call;
}

std::string fleet::key_of(std::size_t instance,
                          const std::string& suffix) const {
    // The steering answer names one instance; others are asked for by playing
    // callers until one is sent there.
    const auto& wanted = instances_.at(instance)->name();
    for (int caller = 0; caller < 10'000; ++caller) {
        auto call = call_to(instances_.at(instance)->steer_port(), "GET",
                            "/v1/addresses?service=" + service_name);
        call.headers = {{"Waxwing-Caller", "test-" + std::to_string(caller)}};
        const auto prefix = parsed_body(http_request_once(std::move(call)))
                                .at("key_prefix")
                                .get<std::string>();
        if (prefix.compare(0, wanted.size() + 1, wanted + ".") == 0) {
            return std::string(prefix).append(".test.").append(suffix);
        }
    }
    throw std::runtime_error("no caller is sent to " + wanted);
}

child_process fleet::start_load(const std::vector<std::string>& options,
                                const std::string& service) const {
    std::string steers;
    for (const auto& each : instances_) {
        steers += (steers.empty() ? "127.0.0.1:" : ",127.0.0.1:") +
                  std::to_string(each->steer_port());
    }
    std::vector<std::string> words = {
        "--steer=" + steers, "--service=" + service,
        "--expect-echo",     "--json",
        "--tenant=leagues",  "--seconds=60",
        "--deadline-ms=5000"};
    words.insert(words.end(), options.begin(), options.end());
    return child_process("waxwing-load", words);
}

std::uint64_t load_report::ended(const std::string& how) const {
    return through.at("ends").at(how).get<std::uint64_t>();
}

std::uint64_t load_report::calls() const {
    return through.at("calls").get<std::uint64_t>();
}

load_report finish_load(child_process& load) {
    constexpr std::chrono::seconds whole_run{80};
    const auto text = load.read_rest(whole_run);
    load_report report;
    report.exit_code = load.wait().value_or(-1);
    const auto parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        throw std::runtime_error("waxwing-load ended with code " +
                                 std::to_string(report.exit_code));
    }
    report.through = parsed.at("through");
    return report;
}

} // namespace waxwingvale::standin
