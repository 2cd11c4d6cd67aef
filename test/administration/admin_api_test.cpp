#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <waxwingvale/administration/admin_api.hpp>

#include "administration/sample_snapshot.hpp"

using namespace waxwingvale;
using administration::admin_api;
using nlohmann::json;

namespace {

constexpr const char* token = "a-token-of-length";

struct asked_api {
    program::metrics metrics;
    administration::control_snapshot snapshot = sample_snapshot();
    admin_api api{token, metrics, [this] { return snapshot; }};

    io::http_response ask(const std::string& method, const std::string& target,
                          const std::string& body = "") const {
        return api.answer({method,
                           target,
                           {{"authorization", std::string("Bearer ") + token}},
                           body,
                           "127.0.0.1"});
    }
    json document(const std::string& target) const {
        const auto answer = ask("GET", target);
        REQUIRE(answer.status == 200);
        return json::parse(answer.body);
    }
};

} // namespace

TEST_CASE("documents need the bearer token, health and metrics do not") {
    const asked_api fixture;
    const auto without = [&](const std::string& target,
                             const io::http_headers& headers) {
        return fixture.api.answer({"GET", target, headers, "", "10.0.0.9"})
            .status;
    };
    CHECK(without("/v1/status", {}) == 401);
    CHECK(without("/v1/status", {{"Authorization", "Bearer wrong"}}) == 401);
    CHECK(without("/v1/status", {{"Authorization", token}}) == 401);
    CHECK(without("/v1/nothing", {}) == 401);
    CHECK(without("/healthz", {}) == 200);
    CHECK(without("/metrics", {}) == 200);
}

TEST_CASE("no method changes anything") {
    const asked_api fixture;
    for (const auto* method : {"POST", "PUT", "DELETE", "PATCH"}) {
        const auto answer = fixture.ask(method, "/v1/members");
        CHECK(answer.status == 405);
        CHECK(*io::find_header(answer.headers, "Allow") == "GET");
    }
    CHECK(fixture.ask("GET", "/v1/check").status == 405);
    CHECK(fixture.ask("GET", "/v1/nothing").status == 404);
}

TEST_CASE("status tells the revision in force and why a newer is refused") {
    const auto status = asked_api().document("/v1/status");
    CHECK(status["configuration"]["revision_in_force"] == 7);
    CHECK(status["configuration"]["newest_revision_seen"] == 8);
    CHECK(status["configuration"]["refused"]["error"]["detail"] ==
          "services[0].owners: expected a whole number from 0 to 64, found 65");
    CHECK(status["links"][1]["peer"] == "pdx-1");
    CHECK(status["links"][1]["connected"] == true);
    CHECK(status["members"] ==
          json({{"alive", 2}, {"suspect", 0}, {"leaving", 0}, {"gone", 1}}));
    CHECK(status["platform"]["last_answer_ms_ago"] == 20);
}

TEST_CASE("backend servers are shown with who believes what since when") {
    const auto servers =
        asked_api().document("/v1/backends")["backend_servers"];
    CHECK(servers[0]["state"] == "serving");
    CHECK(servers[0]["source"] == "configuration");
    CHECK(servers[1]["state"] == "leaving");
    CHECK(servers[1]["source"] == "traffic");
    CHECK(servers[1]["observer"] == "pdx-1");
    CHECK(servers[1]["since_ms_ago"] == 1500);
}

TEST_CASE("owners are those that the decision gives, without the gone") {
    const auto services = asked_api().document("/v1/owners")["services"];
    unsigned slots = 0;
    for (const auto& owner : services[0]["owners"]) {
        CHECK(owner["instance"] != "boi-1");
        slots += owner["slots"].get<unsigned>();
    }
    CHECK(slots == 12);
}

TEST_CASE("a request's way is explained step by step") {
    asked_api fixture;
    const std::string desk = "/v1/explain?service=assign-desk&path=%2Fm%2F1";
    auto told = fixture.document(desk + "&method=POST&tenant=leagues");
    CHECK(told["path"] == "/m/1");
    CHECK(told["verdict"] == "runs where a slot is free first");
    CHECK(told["backend_servers"][1]["because"] == "traffic, seen by pdx-1");
    const auto verdict = [&](const std::string& target) {
        return fixture.document(target)["verdict"].get<std::string>();
    };
    CHECK(verdict(desk + "&method=POST&tenant=guests") ==
          "not run: the tenant may not call this service");
    CHECK(verdict(desk + "&method=PUT&tenant=leagues") ==
          "not run: no class matches the method and path");
    CHECK(verdict("/v1/explain?service=other") ==
          "not run: no service has that name");
    auto stale = *fixture.snapshot.seen;
    stale.fresh = false;
    fixture.snapshot.seen = std::make_shared<const view>(stale);
    CHECK(verdict(desk + "&method=POST&tenant=leagues") ==
          "not run: the view is not fresh, and this request must not run "
          "twice");
}

TEST_CASE("a dry run tells what is wrong, or what would change") {
    const asked_api fixture;
    const auto check = [&](const std::string& body) {
        return json::parse(
            fixture.ask("POST", "/v1/check?file=next.json", body).body);
    };
    const auto broken = check("{");
    CHECK(broken["valid"] == false);
    CHECK(broken["errors"][0]["peer"] == "next.json");
    auto next = fixture.snapshot.seen->published.text;
    CHECK(check(next)["changes"].empty());
    next.replace(next.find("desk-1"), 6, "desk-9");
    next.replace(next.find("\"retriable\""), 11, "\"at_most_once\"");
    CHECK(check(next)["changes"] ==
          json({"service assign-desk: class look changed",
                "service assign-desk: backend server desk-1 removed",
                "service assign-desk: backend server desk-9 added"}));
}

TEST_CASE("before the first view the documents are not there yet") {
    asked_api fixture;
    fixture.snapshot = {};
    CHECK(fixture.ask("GET", "/v1/status").status == 503);
    auto empty = sample_snapshot();
    auto seen = *empty.seen;
    seen.config = nullptr;
    empty.seen = std::make_shared<const view>(seen);
    fixture.snapshot = empty;
    for (const auto* path : {"/v1/status", "/v1/owners", "/v1/backends",
                             "/v1/configuration", "/v1/explain?service=x"}) {
        CHECK(fixture.ask("GET", path).status == 200);
    }
}
