// Uploads in chunks, as long as the longest of the users, while both backends
// turn a part of them away as full. Whatever runs has to have the body that its
// client sent.

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "../standin/backend.hpp"
#include "../standin/case_frame.hpp"
#include "../standin/deployment.hpp"
#include "../standin/http.hpp"
#include "../standin/store.hpp"

namespace {

using namespace review;
using nlohmann::json;

constexpr const char* service_name = "evidence-intake";
constexpr const char* host_name = "evidence.example";
constexpr const char* backend_host = "127.0.7.201";
constexpr const char* store_host = "127.0.7.200";
constexpr unsigned machines = 2;
constexpr unsigned slots = 3;
constexpr int uploads = 40;
constexpr std::size_t upload_bytes = 360000;
constexpr std::size_t chunk_bytes = 16384;
constexpr long between_chunks_ms = 1;
constexpr long work_ms = 110;
constexpr int time_budget_ms = 3000;
constexpr unsigned ready_within_s = 20;
constexpr long settle_ms = 8000; // from the start of machines to traffic
// Two of five: "garble" and "srv_grey" are played with shares of 0.4 and more.
constexpr int full_of = 5;

// No two places of it are alike, and no two requests have the same.
std::string body_of(const std::string& id) {
    std::string body;
    while (body.size() < upload_bytes) {
        body += id + ":" + std::to_string(body.size()) + "\n";
    }
    body.resize(upload_bytes);
    return body;
}

std::string configuration() {
    const json route = {{"Name", "install-evidence"},
                        {"Host", host_name},
                        {"PathPrefix", "/evidence/"},
                        {"Kind", "upload"},
                        {"Timeout", time_budget_ms},
                        {"TargetLatency", 1200},
                        {"Priority", 1},
                        {"Service", service_name},
                        {"MaxAttempts", 2}};
    const json service = {{"Name", service_name},
                          {"HealthPath", "/healthz"},
                          {"MaxConnections", 260},
                          {"Protocol", "h1"},
                          {"Tls", false}};
    return json{{"Version", 7},
                {"Routes", {route}},
                {"Services", {service}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 67108864},
                  {"HeaderTimeout", 3000},
                  {"IdleTimeout", 15000}}}}
        .dump();
}

// What the backends have seen.
class intake {
public:
    intake(record& to, bool trouble) : to_(to), trouble_(trouble) {}

    std::string take(const backend& at, const message& request) {
        const auto id = request.field("Waxwingvale-Attempt-Id");
        const int turn = ++arrivals_ % full_of;
        const bool full = trouble_ && (turn == 0 || turn == 2);
        if (full) {
            to_.line("turned-away id=" + id + " backend=" + at.id() +
                     " bytes=" + std::to_string(request.body.size()));
            return not_executed(at, request);
        }
        const bool same = request.body == body_of(id);
        altered_ += same ? 0 : 1;
        to_.line("ran id=" + id + " backend=" + at.id() +
                 " bytes=" + std::to_string(request.body.size()) +
                 (same ? " body=as-sent" : " body=ALTERED"));
        pause_ms(work_ms);
        return ran(at, request, "taken\n");
    }

    int altered() const { return altered_; }

private:
    record& to_;
    bool trouble_;
    std::atomic<int> arrivals_{0};
    std::atomic<int> altered_{0};
};

std::string head_of(const std::string& id) {
    return "POST /evidence/photo HTTP/1.1\r\nHost: " + std::string(host_name) +
           "\r\nWaxwingvale-Attempt-Id: " + id +
           "\r\nWaxwingvale-Request-Deadline: " +
           std::to_string(time_budget_ms) +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// Returns the status; 0: there was no whole answer.
int upload(const std::string& host, std::uint16_t port, const std::string& id) {
    connection on(connect_to(host, port));
    if (!on.valid()) {
        return 0;
    }
    on.limit_wait(time_budget_ms);
    on.send(head_of(id));
    const auto body = chunked(body_of(id), chunk_bytes);
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
        on.send(body.substr(at, chunk_bytes));
        pause_ms(between_chunks_ms);
    }
    const auto answer = on.read(false);
    return answer && answer->complete ? answer->status() : 0;
}

verdict play(const case_frame& frame, record& to) {
    intake seen(to, frame.trouble);
    store platform(store_host);
    backend first("i-1", backend_host, slots, [&](const message& request) {
        return seen.take(first, request);
    });
    backend second("i-2", backend_host, slots, [&](const message& request) {
        return seen.take(second, request);
    });
    platform.put("op/config", configuration());
    platform.put("servers/i-1", first.entry(service_name, "zone-0"));
    platform.put("servers/i-2", second.entry(service_name, "zone-1"));
    deployment system(frame.root, machines,
                      std::string(store_host) + ":" +
                          std::to_string(platform.port()));
    system.start_all();
    if (!system.await_ready(ready_within_s)) {
        to.line("not-ready");
        return verdict::not_run;
    }
    pause_ms(settle_ms);
    std::map<int, int> answers;
    for (int each = 0; each < uploads; ++each) {
        const auto id = "upload-" + std::to_string(each);
        to.line("sent id=" + id + " bytes=" + std::to_string(upload_bytes));
        const auto machine = static_cast<unsigned>(each) % machines;
        const int status =
            upload(system.host(machine), system.front_port(), id);
        to.line("answered id=" + id + " status=" + std::to_string(status));
        ++answers[status];
    }
    for (const auto& [status, count] : answers) {
        to.line("total status=" + std::to_string(status) +
                " answers=" + std::to_string(count));
    }
    to.line("total altered=" + std::to_string(seen.altered()));
    if (answers[200] == 0) {
        return verdict::not_run;
    }
    return seen.altered() > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv) {
    const auto frame = frame_of(argc, argv);
    record to(frame.folder + "/record.txt");
    end_with(play(frame, to));
}
