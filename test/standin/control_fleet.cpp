#include "standin/control_fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "standin/http_request_once.hpp"

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

constexpr const char* shared_key = "a key that the whole fleet shares";
constexpr const char* admin_token = "a token of the fleet";
constexpr duration bound = std::chrono::seconds(30);
constexpr unsigned seed_count = 2;

std::string make_folder() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "waxwing-fleet-XXXXXX")
            .string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return pattern;
}

} // namespace

control_fleet::control_fleet(control_fleet_options options)
    : options_(std::move(options)),
      folder_(make_folder()),
      platform_("standin-platform", {}),
      closed_port_(free_port()) {
    platform_port_ = platform_.read_ready().at("port").get<std::uint16_t>();
    for (unsigned each = 0; each < options_.instances; ++each) {
        ports_.push_back({free_port(), free_port(), free_port(), free_port()});
    }
    if (options_.relays) {
        start_relays();
    }
}

// One for each instance before the platform, then one before each seed.
void control_fleet::start_relays() {
    std::vector<std::string> targets(size(),
                                     "--to=" + std::to_string(platform_port_));
    for (unsigned each = 0; each < seed_count && each < size(); ++each) {
        targets.push_back("--to=" + std::to_string(ports_[each].control));
    }
    relays_ = std::make_unique<child_process>("standin-relay", targets);
    relay_ready_ = relays_->read_ready();
}

void control_fleet::set_relay(std::size_t route,
                              const std::string& mode) const {
    http_post(relay_ready_.at("port").get<std::uint16_t>(),
              "/control/route?route=" + std::to_string(route) +
                  "&mode=" + mode);
}

std::uint16_t control_fleet::relay_port(std::size_t route) const {
    return relay_ready_.at("routes").at(route).at("port").get<std::uint16_t>();
}

void control_fleet::relay_platform(unsigned instance,
                                   const std::string& mode) const {
    set_relay(instance, mode);
}

void control_fleet::relay_seeds(const std::string& mode) const {
    for (unsigned each = 0; each < seed_count && each < size(); ++each) {
        set_relay(size() + each, mode);
    }
}

control_fleet::~control_fleet() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string control_fleet::name_of(unsigned instance) const {
    const auto& centres = options_.data_centres;
    return centres[instance % centres.size()] + "-" +
           std::to_string(instance / centres.size() + 1);
}

std::uint16_t control_fleet::admin_port(unsigned instance) const {
    return ports_.at(instance).admin;
}

std::uint16_t control_fleet::caller_port(unsigned instance) const {
    return ports_.at(instance).caller;
}

std::uint16_t control_fleet::steer_port(unsigned instance) const {
    return ports_.at(instance).steer;
}

child_process& control_fleet::process(unsigned instance) {
    return processes_.at(instance);
}

json control_fleet::seeds() const {
    json named = json::array();
    for (unsigned each = 0;
         options_.seeds && each < seed_count && each < size(); ++each) {
        const auto port =
            relays_ ? relay_port(size() + each) : ports_.at(each).control;
        named.push_back({{"host", "127.0.0.1"}, {"control_port", port}});
    }
    return named;
}

json control_fleet::platform_of(unsigned instance) const {
    const bool reaches =
        !options_.reaches_platform || options_.reaches_platform(instance);
    const auto port = !reaches  ? closed_port_
                      : relays_ ? relay_port(instance)
                                : platform_port_;
    json read_so = {{"host", "127.0.0.1"}, {"port", port}};
    if (options_.readers > 0) {
        read_so["readers"] = options_.readers;
        read_so["watch_ms"] = 600;
        read_so["answer_within_ms"] = 400;
    }
    return read_so;
}

std::string control_fleet::settings_of(unsigned instance) const {
    const auto& own = ports_.at(instance);
    const auto& centres = options_.data_centres;
    const json settings = {
        {"settings_version", 2},
        {"instance",
         {{"name", name_of(instance)},
          {"data_centre", centres[instance % centres.size()]},
          {"host", "127.0.0.1"}}},
        {"platform", platform_of(instance)},
        {"peers", {{"shared_key", shared_key}, {"seeds", seeds()}}},
        {"entry", {{"caller_port", own.caller}}},
        {"steer", {{"steer_port", own.steer}}},
        {"control",
         {{"control_port", own.control},
          {"admin_port", own.admin},
          {"admin_token", admin_token}}}};
    return settings.dump();
}

std::string control_fleet::settings_file(unsigned instance) const {
    auto name = folder_ + "/" + name_of(instance) + ".json";
    std::ofstream(name) << settings_of(instance);
    return name;
}

void control_fleet::start(unsigned instance) {
    child_process started("waxwing-node",
                          {"--settings=" + settings_file(instance)});
    started.read_ready();
    processes_.insert_or_assign(instance, std::move(started));
    observe(instance);
}

void control_fleet::observe(unsigned instance) {
    observers_[instance] = std::make_unique<node_observer>(
        loop_, timers_, name_of(instance), shared_key,
        ports_.at(instance).control);
}

void control_fleet::start_all() {
    for (unsigned each = 0; each < size(); ++each) {
        start(each);
    }
}

void control_fleet::start_again(unsigned instance) {
    observers_.erase(instance);
    start(instance);
}

void control_fleet::publish(const std::string& value, const std::string& body,
                            std::optional<std::uint64_t> revision,
                            std::function<void()> acknowledged) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = platform_port_;
    call.method = "PUT";
    call.target = "/control/values/" + value;
    if (revision) {
        call.target += "?revision=" + std::to_string(*revision);
    }
    call.body = body;
    client_.send(std::move(call), [then = std::move(acknowledged)](
                                      const io::http_call_result& ended) {
        if (then && status_of(ended) == 200) {
            then();
        }
    });
}

void control_fleet::fault(const std::string& query) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = platform_port_;
    call.method = "POST";
    call.target = "/control/fault?" + query;
    client_.send(std::move(call), [](const io::http_call_result&) {});
}

std::string
control_fleet::instances_value(const std::string& backend_servers) const {
    json instances = json::array();
    const auto& centres = options_.data_centres;
    for (unsigned each = 0; each < size(); ++each) {
        const auto& own = ports_.at(each);
        instances.push_back({{"name", name_of(each)},
                             {"data_centre", centres[each % centres.size()]},
                             {"host", "127.0.0.1"},
                             {"caller_port", own.caller},
                             {"steer_port", own.steer},
                             {"control_port", own.control},
                             {"state", "live"}});
    }
    const auto servers =
        backend_servers.empty() ? json::array() : json::parse(backend_servers);
    return json{{"entry_instances", instances}, {"backend_servers", servers}}
        .dump();
}

view control_fleet::view_at(unsigned instance) const {
    auto seen = observers_.at(instance)->seen();
    seen.fresh = is_fresh(instance);
    return seen;
}

io::http_call control_fleet::admin_call(unsigned instance,
                                        const std::string& target) const {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = admin_port(instance);
    call.target = target;
    call.headers = {{"Authorization", std::string("Bearer ") + admin_token}};
    return call;
}

void control_fleet::send(io::http_call call, io::http_client::handler on_done) {
    client_.send(std::move(call), std::move(on_done));
}

bool control_fleet::is_fresh(unsigned instance) const {
    const auto answer = http_request_once(admin_call(instance, "/v1/status"));
    return status_of(answer) == 200 &&
           json::parse(body_of(answer)).at("fresh").get<bool>();
}

unsigned control_fleet::late_wakeups(unsigned instance) const {
    const auto metrics = body_of(http_get(admin_port(instance), "/metrics"));
    return static_cast<unsigned>(
        metric_in(metrics, "waxwing_late_wakeups_total").value_or(0));
}

std::string control_fleet::describe(unsigned instance) const {
    const auto seen = view_at(instance);
    auto line = name_of(instance) + ": revision " +
                std::to_string(seen.published.revision) +
                (seen.fresh ? ", fresh" : ", not fresh") + ", heard " +
                std::to_string((now() - heard(instance)).count() / 1000) +
                " ms ago";
    for (const auto& each : seen.members) {
        line += ", " + each.id.name + "@" +
                std::to_string(each.id.incarnation) + " state " +
                std::to_string(static_cast<int>(each.state));
    }
    return line;
}

time_point control_fleet::heard(unsigned instance) const {
    return observers_.at(instance)->heard();
}

const io::message_hub_counters&
control_fleet::observer_counters(unsigned instance) const {
    return observers_.at(instance)->counters();
}

void control_fleet::tell(unsigned instance, const backend_belief& belief) {
    observers_.at(instance)->tell(belief);
}

void control_fleet::tell(unsigned instance,
                         const membership::death_record& death) {
    observers_.at(instance)->tell(death);
}

bool control_fleet::run_until(const std::function<bool()>& condition) {
    const auto give_up = now() + bound;
    const auto keep_waking =
        timers_.every(std::chrono::milliseconds(20), [](time_point) {});
    while (!condition()) {
        if (now() > give_up) {
            return false;
        }
        loop_.run_once(true);
    }
    return true;
}

bool control_fleet::run_until_all(
    const std::function<bool(const view&)>& condition) {
    return run_until([&] {
        return std::all_of(
            observers_.begin(), observers_.end(),
            [&](const auto& each) { return condition(view_at(each.first)); });
    });
}

void control_fleet::run_for(duration time) {
    const auto until = now() + time;
    run_until([&] { return now() >= until; });
}

std::string fleet_configuration(unsigned backend_servers,
                                const std::string& mark) {
    json servers = json::array();
    for (unsigned each = 1; each <= backend_servers; ++each) {
        servers.push_back({{"name", "slate-" + std::to_string(each)},
                           {"host", "127.0.0.1"},
                           {"port", 9000 + each},
                           {"data_centre", each % 2 == 0 ? "sea" : "pdx"},
                           {"slots", 6}});
    }
    const json file = {
        {"schema_version", 1},
        {"data_centres",
         {{{"name", "sea"}, {"region", "northwest"}},
          {{"name", "pdx"}, {"region", "northwest"}}}},
        {"tenants", {{{"name", mark}, {"share", 1}}}},
        {"request_keys", {{"lifetime_ms", 60000}, {"limit", 1000}}},
        {"addresses", {{"keep_min_ms", 1000}, {"keep_max_ms", 2000}}},
        {"services",
         {{{"name", "slate-view"},
           {"classes",
            {{{"name", "look"},
              {"methods", {"GET"}},
              {"path_prefix", "/"},
              {"nature", "retriable"}}}},
           {"backend_servers", servers}}}}};
    return file.dump();
}

std::optional<double> metric_in(const std::string& text,
                                const std::string& name) {
    const auto place = text.find("\n" + name + " ");
    if (place == std::string::npos) {
        return std::nullopt;
    }
    return std::strtod(text.c_str() + place + name.size() + 2, nullptr);
}

} // namespace waxwingvale::standin
