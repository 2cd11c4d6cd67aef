#include "standin/control_fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

constexpr const char* shared_key = "a key that the whole fleet shares";
constexpr duration bound = std::chrono::seconds(30);

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

// Stands for the waxwing-entry of one instance.
struct control_fleet::listener {
    listener(control_fleet& fleet, unsigned instance);

    io::view_decoder decoder{parse_configuration};
    view_ptr last;
    time_point received{};
    unsigned not_fresh = 0;
    std::uint64_t incarnation;
    std::unique_ptr<io::message_hub> hub;
    std::string control;
};

control_fleet::listener::listener(control_fleet& fleet, unsigned instance)
    : incarnation(static_cast<std::uint64_t>(
          std::chrono::duration_cast<duration>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      control(fleet.name_of(instance) + "/control") {
    io::message_hub_options options;
    options.self_name = fleet.name_of(instance) + "/entry";
    options.shared_key = shared_key;
    hub = std::make_unique<io::message_hub>(fleet.loop_, fleet.timers_,
                                            std::move(options));
    hub->on_link_change([this](const std::string&, bool up) {
        if (up) {
            hub->send(control, io::entry_life_kind,
                      io::encode(io::entry_life{incarnation}));
        }
    });
    hub->on_message(io::view_kind, [this, &fleet](const std::string&,
                                                  const auto& body) {
        auto got = decoder.decode(body, fleet.now());
        if (!got) {
            return;
        }
        last = got.value();
        received = fleet.now();
        not_fresh += last->fresh ? 0 : 1;
        incarnation = last->self.id.incarnation != 0 ? last->self.id.incarnation
                                                     : incarnation;
        hub->send(control, io::in_force_kind,
                  io::encode(io::in_force_report{last->published.revision}));
    });
    hub->connect(control, "127.0.0.1", fleet.ports_.at(instance).control);
}

control_fleet::control_fleet(control_fleet_options options)
    : options_(std::move(options)),
      folder_(make_folder()),
      platform_("standin-platform", {}),
      closed_port_(free_port()) {
    platform_port_ = platform_.read_ready().at("port").get<std::uint16_t>();
    for (unsigned each = 0; each < options_.instances; ++each) {
        ports_.push_back(
            {free_port(), free_port(), free_port(), free_port(), free_port()});
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

child_process& control_fleet::process(unsigned instance) {
    return processes_.at(instance);
}

std::string control_fleet::settings_of(unsigned instance) const {
    const auto& own = ports_.at(instance);
    const bool reaches =
        !options_.reaches_platform || options_.reaches_platform(instance);
    json seeds = json::array();
    for (unsigned each = 0; options_.seeds && each < 2 && each < size();
         ++each) {
        seeds.push_back({{"name", name_of(each)},
                         {"host", "127.0.0.1"},
                         {"control_port", ports_.at(each).control}});
    }
    const auto& centres = options_.data_centres;
    const json settings = {
        {"settings_version", 1},
        {"instance",
         {{"name", name_of(instance)},
          {"data_centre", centres[instance % centres.size()]},
          {"host", "127.0.0.1"}}},
        {"platform",
         {{"host", "127.0.0.1"},
          {"port", reaches ? platform_port_ : closed_port_}}},
        {"peers", {{"shared_key", shared_key}, {"seeds", seeds}}},
        {"entry", {{"caller_port", own.caller}, {"entry_port", own.entry}}},
        {"steer", {{"steer_port", own.steer}}},
        {"control",
         {{"control_port", own.control},
          {"admin_port", own.admin},
          {"admin_token", "a token of the fleet"}}}};
    return settings.dump();
}

std::string control_fleet::settings_file(unsigned instance) const {
    auto name = folder_ + "/" + name_of(instance) + ".json";
    std::ofstream(name) << settings_of(instance);
    return name;
}

void control_fleet::start(unsigned instance) {
    child_process started("waxwing-control",
                          {"--settings=" + settings_file(instance)});
    started.read_ready();
    processes_.insert_or_assign(instance, std::move(started));
    listen_at(instance);
}

void control_fleet::listen_at(unsigned instance) {
    listeners_[instance] = std::make_unique<listener>(*this, instance);
}

void control_fleet::start_all() {
    for (unsigned each = 0; each < size(); ++each) {
        start(each);
    }
}

void control_fleet::start_again(unsigned instance) {
    listeners_.erase(instance);
    start(instance);
}

void control_fleet::publish(const std::string& value, const std::string& body,
                            std::optional<std::uint64_t> revision) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = platform_port_;
    call.method = "PUT";
    call.target = "/control/values/" + value;
    if (revision) {
        call.target += "?revision=" + std::to_string(*revision);
    }
    call.body = body;
    client_.send(std::move(call), [](const io::http_call_result&) {});
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
                             {"entry_port", own.entry},
                             {"state", "live"}});
    }
    const auto servers =
        backend_servers.empty() ? json::array() : json::parse(backend_servers);
    return json{{"entry_instances", instances}, {"backend_servers", servers}}
        .dump();
}

view_ptr control_fleet::view_at(unsigned instance) const {
    const auto found = listeners_.find(instance);
    return found == listeners_.end() ? nullptr : found->second->last;
}

unsigned control_fleet::views_not_fresh(unsigned instance) const {
    return listeners_.at(instance)->not_fresh;
}

std::string control_fleet::describe(unsigned instance) const {
    const auto seen = view_at(instance);
    if (!seen) {
        return name_of(instance) + ": no view";
    }
    auto line = name_of(instance) + ": revision " +
                std::to_string(seen->published.revision) +
                (seen->fresh ? ", fresh" : ", not fresh");
    for (const auto& each : seen->members) {
        line += ", " + each.id.name + "@" +
                std::to_string(each.id.incarnation) + " state " +
                std::to_string(static_cast<int>(each.state));
    }
    return line;
}

time_point control_fleet::view_time(unsigned instance) const {
    return listeners_.at(instance)->received;
}

const io::message_hub_counters&
control_fleet::listener_counters(unsigned instance) const {
    return listeners_.at(instance)->hub->counters();
}

void control_fleet::report(unsigned instance, const char* kind,
                           io::message_bytes message) {
    auto& from = *listeners_.at(instance);
    from.hub->send(from.control, kind, std::move(message));
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
        for (const auto& each : listeners_) {
            if (!each.second->last || !condition(*each.second->last)) {
                return false;
            }
        }
        return true;
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
