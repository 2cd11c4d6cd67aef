#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <map>
#include <string>
#include <vector>

#include "platform/partitioned_instances.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr duration noticed_within = 1500ms;

// One request to an instance, and its whole answer.
class single_call {
public:
    single_call(partitioned_instances& at, std::size_t by, io::http_call call)
        : at_(at), client_(at.world.loop, limits()) {
        call.host = "127.0.0.1";
        call.port = at.world.instances.caller_port(by);
        call.timeout = 5s;
        client_.send(std::move(call), [this](io::http_call_result ended) {
            ended_ = true;
            if (ended.response) {
                answer = std::move(ended.response.value());
            }
        });
    }

    bool wait() {
        return at_.world.go_on_until([this] { return ended_; });
    }

    io::http_response answer{0, {}, ""};

private:
    static io::http_client::limits limits() {
        io::http_client::limits made;
        made.response_body = std::size_t{64} * 1024 * 1024; // bytes
        return made;
    }

    partitioned_instances& at_;
    io::http_client client_;
    bool ended_ = false;
};

io::http_call request(const std::string& method, const std::string& target,
                      const std::string& id) {
    io::http_call made;
    made.method = method;
    made.target = target;
    made.headers = {{"Host", "a.example"},
                    {"X-Own", "as it was"},
                    {"Waxwingvale-Attempt-Id", id},
                    {"Waxwingvale-Request-Deadline", "4000"}};
    return made;
}

std::vector<std::string> names_of(const io::http_headers& headers) {
    std::vector<std::string> names;
    for (const auto& each : headers) {
        names.push_back(each.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

// What servers were sent, by the attempt's id.
struct seen_requests {
    explicit seen_requests(partitioned_instances& played) {
        for (auto& server : played.world.servers) {
            server->on_arrival = [this](const io::http_request& asked) {
                const auto* id =
                    io::find_header(asked.headers, "Waxwingvale-Attempt-Id");
                by_id[*id].push_back(asked);
            };
        }
    }
    std::map<std::string, std::vector<io::http_request>> by_id;
};

} // namespace

TEST_CASE("a detour leaves request and answer as they were given") {
    // Guards against bodies that are cut, answers that are altered, and headers
    // of instances that reach servers or callers.
    const std::size_t size = GENERATE(20UL, 300'000UL, 3'000'000UL); // bytes
    partitioned_instances played;
    for (auto& server : played.world.servers) {
        server->body_of = [size](const io::http_request&) {
            return std::string(size, 'a');
        };
    }
    played.cut({0}, sender_cut::reset);
    played.play("noticing", noticed_within);
    seen_requests seen(played);
    auto direct = request("POST", "/book/direct", "direct");
    direct.body = std::string(size, 'b');
    auto detoured = request("POST", "/book/detoured", "detoured");
    detoured.body = direct.body;
    single_call in_touch(played, 1, direct);
    REQUIRE(in_touch.wait());
    CHECK(in_touch.answer.status == 200);
    single_call partitioned(played, 0, detoured);
    REQUIRE(partitioned.wait());
    CHECK(partitioned.answer.status == 200);
    CHECK(partitioned.answer.body == std::string(size, 'a'));
    CHECK(names_of(partitioned.answer.headers) ==
          names_of(in_touch.answer.headers));
    REQUIRE(seen.by_id["detoured"].size() == 1);
    REQUIRE(seen.by_id["direct"].size() == 1);
    const auto& arrived = seen.by_id["detoured"].front();
    CHECK(arrived.method == "POST");
    CHECK(arrived.target == "/book/detoured");
    CHECK(arrived.body == detoured.body);
    CHECK(names_of(arrived.headers) ==
          names_of(seen.by_id["direct"].front().headers));
    CHECK(*io::find_header(arrived.headers, "X-Own") == "as it was");
    const auto left = std::stoi(
        *io::find_header(arrived.headers, "Waxwingvale-Request-Deadline"));
    CHECK(left <= 4000);
    CHECK(left > 0);
}

TEST_CASE("an upload that a peer does not take reaches a server whole") {
    // Guards against an upload that runs with a part of its body, since a peer
    // that reaches no server either has read the rest.
    constexpr std::size_t size = 600'000; // bytes
    partitioned_instances played({"north"}, cut_node);
    played.cut({0}, sender_cut::reset);
    played.play("noticing", noticed_within);
    seen_requests seen(played);
    played.cut_at_connect({1, 2, 3}, ECONNREFUSED);
    std::vector<std::unique_ptr<single_call>> open;
    for (int each = 0; each < 16; ++each) {
        const auto number = std::to_string(each);
        auto upload = request("POST", "/book/" + number, number);
        upload.body = std::string(size, static_cast<char>('a' + each));
        open.push_back(std::make_unique<single_call>(played, 0, upload));
    }
    std::size_t served = 0;
    for (std::size_t each = 0; each < open.size(); ++each) {
        REQUIRE(open[each]->wait());
        const auto status = open[each]->answer.status;
        const auto& arrived = seen.by_id[std::to_string(each)];
        INFO(each << ", status " << status);
        const bool told_not_run = status == 503 && arrived.empty();
        CHECK((status == 200 || told_not_run));
        served += status == 200 ? 1 : 0;
        for (const auto& request : arrived) {
            const auto sent = static_cast<char>('a' + each);
            CHECK(request.body == std::string(size, sent));
        }
    }
    CHECK(served > 0);
}

TEST_CASE("a detoured request reaches as many servers as its route allows") {
    // Guards against attempts that are counted anew on each instance.
    partitioned_instances played;
    played.world.decide = [](const io::http_request&) {
        return run_end::reset_connection;
    };
    played.cut({0, 1}, sender_cut::reset);
    played.play("noticing", noticed_within);
    seen_requests seen(played);
    std::vector<std::unique_ptr<single_call>> open;
    for (int each = 0; each < 20; ++each) {
        const auto number = std::to_string(each);
        open.push_back(std::make_unique<single_call>(
            played, each % 2, request("GET", "/look/" + number, number)));
        REQUIRE(open.back()->wait());
    }
    constexpr std::size_t most_attempts = 2;
    for (const auto& each : seen.by_id) {
        CHECK(each.second.size() <= most_attempts);
    }
}

TEST_CASE("a caller that leaves a partitioned instance ends its request") {
    // Guards against work for callers that left, by way of another instance.
    partitioned_instances played;
    played.cut({0}, sender_cut::reset);
    played.play("noticing", noticed_within);
    for (auto& server : played.world.servers) {
        server->work = 700ms;
        server->abandoned = 0;
    }
    seen_requests seen(played);
    {
        single_call leaving(played, 0, request("GET", "/look/1", "leaving"));
        played.world.go_on(200ms);
    }
    played.world.go_on(200ms);
    unsigned abandoned = 0;
    for (const auto& server : played.world.servers) {
        abandoned += server->abandoned;
    }
    // A second copy may have been sent, since the first one is slow.
    CHECK(abandoned > 0);
    CHECK(abandoned == seen.by_id["leaving"].size());
}

TEST_CASE("a booking runs at most once though the instance that serves it is "
          "killed") {
    // Guards against a second run of what was lost on its way back.
    partitioned_instances played;
    played.cut({0}, sender_cut::reset);
    played.play("noticing", noticed_within);
    for (auto& server : played.world.servers) {
        server->work = 300ms;
    }
    seen_requests seen(played);
    std::vector<std::unique_ptr<single_call>> open;
    for (int each = 0; each < 16; ++each) {
        const auto number = std::to_string(each);
        open.push_back(std::make_unique<single_call>(
            played, 0, request("POST", "/book/" + number, number)));
    }
    played.world.go_on(150ms);
    for (const auto each : {1, 2, 3}) {
        played.world.instances.process(each).kill();
    }
    for (const auto& each : open) {
        REQUIRE(each->wait());
    }
    for (std::size_t each = 0; each < open.size(); ++each) {
        const auto runs = seen.by_id[std::to_string(each)].size();
        const auto status = open[each]->answer.status;
        INFO("status " << status << ", runs " << runs);
        CHECK(runs <= 1);
        const bool promised_not_run = status == 503;
        CHECK((!promised_not_run || runs == 0));
    }
    for (const auto each : {1, 2, 3}) {
        played.world.instances.start_again(each);
    }
    played.world.go_on(1s);
}
