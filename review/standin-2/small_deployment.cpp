#include "small_deployment.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>
#include <utility>

namespace waxwingvale::review {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* host = "review.example";
constexpr unsigned slots = 16;
// Of one page, as the users' pages tell it.
constexpr std::size_t page_bytes = 1000 * 1000;
constexpr std::size_t page_items = 500;

std::string base64(const std::string& bytes) {
    constexpr char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t three = 0;
        for (std::size_t i = at; i < at + 3; ++i) {
            const auto byte =
                i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
            three = three << 8U | byte;
        }
        const auto known = std::min<std::size_t>(bytes.size() - at, 3);
        for (std::size_t i = 0; i < 4; ++i) {
            const auto letter = three >> (18U - 6U * i) & 63U;
            text += i <= known ? letters[letter] : '=';
        }
    }
    return text;
}

std::string query_value(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    auto value = target.substr(begin, target.find('&', begin) - begin);
    // No key of ours has another character that is escaped.
    const std::string slash = "%2F";
    for (auto found = value.find(slash); found != std::string::npos;
         found = value.find(slash)) {
        value.replace(found, slash.size(), "/");
    }
    return value;
}

std::string json_answer(const json& body) {
    const auto text = body.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

json configuration_of(const std::vector<served_route>& routes,
                      std::chrono::milliseconds timeout) {
    json listed = json::array();
    json services = json::array();
    for (const auto& each : routes) {
        listed.push_back({{"Name", "route-" + each.service},
                          {"Host", host},
                          {"PathPrefix", each.prefix},
                          {"Kind", each.kind},
                          {"Service", each.service},
                          {"Timeout", timeout.count()},
                          {"TargetLatency", 250},
                          {"MaxAttempts", 3},
                          {"Priority", 1}});
        services.push_back({{"Name", each.service},
                            {"HealthPath", "/healthz"},
                            {"MaxConnections", 220}});
    }
    return {{"Version", 3},
            {"Routes", listed},
            {"Services", services},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 1048576},
              {"HeaderTimeout", 5000},
              {"IdleTimeout", 20000}}}};
}

json entry_of(const backend& of) {
    return {{"Service", of.service()},
            {"Address", "127.0.0.1:" + std::to_string(of.port())},
            {"Zone", "sea-hall"},
            {"Version", "v1"},
            {"MaxConcurrency", slots},
            {"State", "ready"},
            {"ColdRemaining", 0},
            {"Sequence", 7}};
}

// What deploy/settings.json makes of the settings of a small deployment.
json settings_of(std::size_t number, std::uint16_t caller,
                 std::uint16_t control, std::uint16_t store,
                 const json& seeds) {
    const auto address = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    return {
        {"settings_version", 2},
        {"instance",
         {{"name", "edge-sea-hall-" + std::to_string(number)},
          {"data_centre", "sea-hall"},
          {"host", "127.0.0.1"},
          {"cpu_share", 0.2},
          {"cpu_cores", 1},
          {"link_mbps", 1000.0},
          {"drain_timeout_ms", 6e3},
          {"leave_notice_ms", 1000},
          {"memory_mb", 260},
          {"descriptors", 4100},
          {"descriptors_for_files", 200},
          {"metrics_port", free_port()},
          {"ready_address", address(free_port())}}},
        {"platform",
         {{"address", address(store)},
          {"reads_per_second", 2000},
          {"readers", 1},
          {"watch_ms", 600},
          {"answer_within_ms", 400}}},
        {"peers",
         {{"shared_key", "waxwingvale on the users' platform"},
          {"seeds", seeds}}},
        {"entry",
         {{"caller_address", address(caller)},
          {"first_detour_port", free_port()},
          {"last_detour_port", free_port()},
          {"connection_limit", 3000}}},
        {"steer",
         {{"steer_address", address(free_port())},
          {"connection_limit", 1000},
          {"keep_ms", 5e3}}},
        {"control",
         {{"control_address", address(control)}, {"administration", false}}},
        {"deployment",
         {{"data_centres",
           json::array({{{"name", "sea-hall"}, {"region", "pnw"}}})},
          {"owners", 1},
          {"retries", 0.2},
          {"hedges", 0.1},
          {"repeats", 0.2},
          {"repeat_window_ms", 10e3},
          {"repeat_extra", 56},
          {"probes_per_second", 20}}}};
}

bool serves(std::uint16_t port, const served_route& route) {
    const int descriptor = connect_to(port);
    if (descriptor < 0) {
        return false;
    }
    http_connection connection(descriptor);
    connection.write(request_text("GET", route.prefix + "ready",
                                  fresh_attempt(), 1000ms, ""));
    const auto answer = connection.read();
    return answer && answer->status() == 200;
}

} // namespace

struct record::state {
    std::mutex guard;
    std::ofstream file;
    std::chrono::steady_clock::time_point began;
};

record::record(const std::string& file) : state_(std::make_shared<state>()) {
    state_->file.open(file);
    state_->began = std::chrono::steady_clock::now();
}

void record::note(const std::string& line) {
    const std::lock_guard<std::mutex> lock(state_->guard);
    const std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - state_->began;
    state_->file << passed.count() << ' ' << line << std::endl;
}

std::string signature_of(const std::string& attempt) {
    return "signed." + attempt;
}

backend::backend(std::string id, std::string service, handler answer)
    : id_(std::move(id)),
      service_(std::move(service)),
      answer_(std::move(answer)) {
    port_ = serve_connections([this](http_connection& on) { serve(on); });
}

std::string backend::answer(int status, const std::string& attempt,
                            const std::string& body) const {
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nWaxwingvale-Attempt-Id: " + attempt +
           "\r\nWaxwingvale-Response-Signature: " + signature_of(attempt) +
           "\r\nWaxwingvale-Server-Load: " + std::to_string(running_) + ",0," +
           std::to_string(slots) +
           ",100\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void backend::serve(http_connection& on) {
    while (const auto request = on.read()) {
        const auto named = request->header("waxwingvale-target-instance");
        if (request->second == "/healthz") {
            on.write("HTTP/1.1 200 OK\r\nWaxwingvale-Instance-Id: " + id_ +
                     "\r\nWaxwingvale-Server-Load: " +
                     std::to_string(running_) + ",0," + std::to_string(slots) +
                     ",100\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const auto attempt = request->header("waxwingvale-attempt-id");
        if (!named.empty() && named != id_) {
            on.write("HTTP/1.1 421 Misdirected\r\nWaxwingvale-Attempt-Id: " +
                     attempt +
                     "\r\nWaxwingvale-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
            continue;
        }
        ++running_;
        const bool goes_on = answer_(*this, on, *request);
        --running_;
        if (!goes_on) {
            return;
        }
    }
}

small_deployment::small_deployment(
    std::size_t instances, std::vector<served_route> routes,
    std::chrono::milliseconds timeout,
    const std::vector<std::unique_ptr<backend>>& backends,
    const std::string& folder) {
    put("op/config", configuration_of(routes, timeout).dump());
    for (const auto& each : backends) {
        put("servers/" + each->id(), entry_of(*each).dump());
    }
    store_port_ =
        serve_connections([this](http_connection& on) { serve_store(on); });
    std::vector<std::uint16_t> control;
    json seeds = json::array();
    for (std::size_t each = 0; each < instances; ++each) {
        callers_.push_back(free_port());
        control.push_back(free_port());
        seeds.push_back(
            {{"address", "127.0.0.1:" + std::to_string(control.back())}});
    }
    for (std::size_t each = 0; each < instances; ++each) {
        const auto name = folder + "/node-" + std::to_string(each) + ".json";
        std::ofstream(name + ".new")
            << settings_of(each, callers_[each], control[each], store_port_,
                           seeds)
                   .dump(2);
        ::rename((name + ".new").c_str(), name.c_str());
    }
}

void small_deployment::put(const std::string& key, const std::string& value) {
    auto written = base64(value);
    const std::lock_guard<std::mutex> lock(guard_);
    items_[key] = {std::move(written), ++revision_};
    changed_.notify_all();
}

std::string small_deployment::page_after(const std::string& key) {
    const std::lock_guard<std::mutex> lock(guard_);
    json items = json::array();
    std::size_t bytes = 0;
    auto next = items_.upper_bound(key);
    for (; next != items_.end(); ++next) {
        const auto& each = next->second;
        const bool full = items.size() == page_items ||
                          bytes + each.value.size() > page_bytes;
        if (full && !items.empty()) {
            break;
        }
        bytes += each.value.size();
        items.push_back({{"Key", next->first},
                         {"Value", each.value},
                         {"Revision", each.revision},
                         {"Created", each.revision},
                         {"Lease", 0}});
    }
    return json_answer({{"items", items},
                        {"HasMore", next != items_.end()},
                        {"AsOf", revision_}});
}

std::string small_deployment::changes_after(std::uint64_t revision,
                                            std::chrono::milliseconds wait) {
    std::unique_lock<std::mutex> lock(guard_);
    changed_.wait_for(lock, wait, [&] { return revision_ > revision; });
    json events = json::array();
    for (const auto& [key, each] : items_) {
        if (each.revision > revision) {
            events.push_back({{"Key", key},
                              {"Value", each.value},
                              {"Revision", each.revision},
                              {"Created", each.revision},
                              {"Lease", 0}});
        }
    }
    return json_answer({{"events", events}, {"AsOf", revision_}});
}

void small_deployment::serve_store(http_connection& on) {
    while (const auto request = on.read()) {
        const auto& target = request->second;
        const auto after = query_value(target, "after");
        if (target.rfind("/-/kv-range", 0) == 0) {
            on.write(page_after(after));
            continue;
        }
        const auto wait =
            std::strtol(query_value(target, "WaitMs").c_str(), nullptr, 10);
        on.write(changes_after(std::strtoull(after.c_str(), nullptr, 10),
                               std::chrono::milliseconds(wait)));
    }
}

bool small_deployment::await_ready(
    const std::vector<served_route>& routes) const {
    constexpr int tries = 150;
    for (const auto port : callers_) {
        for (const auto& route : routes) {
            int tried = 0;
            while (!serves(port, route)) {
                if (++tried == tries) {
                    return false;
                }
                std::this_thread::sleep_for(100ms);
            }
        }
    }
    return true;
}

std::string fresh_attempt() {
    static std::atomic<std::uint64_t> next{1};
    return "a" + std::to_string(::getpid()) + "x" + std::to_string(next++);
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& attempt,
                         std::chrono::milliseconds deadline,
                         const std::string& body) {
    return method + " " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nWaxwingvale-Attempt-Id: " + attempt +
           "\r\nWaxwingvale-Request-Deadline: " +
           std::to_string(deadline.count()) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

case_arguments read_arguments(int argc, char** argv) {
    constexpr int expected = 3;
    if (argc != expected) {
        std::cerr << "usage: " << argv[0] << " FOLDER RECORD\n";
        end_case(2);
    }
    const char* trouble = std::getenv("TROUBLE");
    case_arguments read;
    read.folder = argv[1];
    read.record_file = argv[2];
    read.trouble = trouble == nullptr || std::string(trouble) != "0";
    return read;
}

void end_case(int code) {
    std::cout.flush();
    ::_exit(code);
}

} // namespace waxwingvale::review
