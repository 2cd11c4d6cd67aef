#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <iterator>
#include <set>
#include <string>

#include "platform/asking_caller.hpp"
#include "platform/ending_servers.hpp"
#include "platform/endless_server.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr duration deadline = 700ms; // of each request
constexpr duration answers_lag = 500ms;
constexpr std::size_t memory_growth_limit = 24 * 1024; // KiB
constexpr const char* metric = "waxwing_backend_answers_malformed_total";

const endless_bytes all_bytes[] = {
    endless_bytes::head_lines,      endless_bytes::one_line,
    endless_bytes::interim_answers, endless_bytes::other_answers,
    endless_bytes::unsigned_body,   endless_bytes::chunk_extension,
    endless_bytes::trailers,        endless_bytes::after_answer};

// Two instances on three servers of which one sends bytes without end.
struct endless_world {
    ending_servers world{2, 2, {{"probes_per_second", 20}}};
    endless_server faulty{world.loop, world.timers, "i-endless"};
    asking_caller caller{world.loop, world.timers, deadline};
    io::http_client client{world.loop, {}};

    endless_world() {
        world.store.put(
            "servers/" + faulty.id(),
            nlohmann::json{
                {"Service", "view"},
                {"Address", "127.0.0.1:" + std::to_string(faulty.port())},
                {"Zone", "north"},
                {"Version", "v1"},
                {"MaxConcurrency", 4},
                {"State", "ready"},
                {"ColdRemaining", 0},
                {"Sequence", 1}}
                .dump());
        world.go_on(1s);
        for (std::size_t each = 0; each < world.instances.size(); ++each) {
            peaks_.push_back(process(each).peak_memory());
        }
    }

    standin::child_process& process(std::size_t number) {
        return world.instances.process(number);
    }

    // Reads and bookings by turns, until that many connections got the bytes.
    void ask_until_begun(unsigned connections) {
        const auto asking = world.timers.every(10ms, [this](time_point) {
            const auto number = caller.asked() / 2;
            const bool reads = caller.asked() % 2 == 0;
            const auto port =
                world.instances.caller_port(number % world.instances.size());
            caller.ask(port, reads ? "GET" : "POST",
                       (reads ? "/look/" : "/book/") + std::to_string(number));
        });
        REQUIRE(
            world.go_on_until([&] { return faulty.begun() >= connections; }));
    }

    std::string metrics_of(std::size_t number) {
        std::string text;
        io::http_call call;
        call.host = "127.0.0.1";
        call.port = world.instances.metrics_port(number);
        call.target = "/metrics";
        bool ended = false;
        client.send(std::move(call), [&](const io::http_call_result& got) {
            ended = true;
            text = got.response ? got.response.value().body : "";
        });
        REQUIRE(world.go_on_until([&] { return ended; }));
        return text;
    }

    // What holds after the bytes, whatever they were and wherever they came.
    void check_borne() {
        REQUIRE(world.go_on_until([&] { return caller.at_rest(); }));
        CHECK(caller.count_of(0) == 0);
        CHECK(caller.count_of(200) > 0);
        CHECK(caller.longest() < deadline + answers_lag);
        faulty.end();
        world.go_on(500ms);
        CHECK(faulty.closed() == faulty.begun());
        std::size_t counted_by = 0;
        for (std::size_t each = 0; each < world.instances.size(); ++each) {
            REQUIRE(process(each).running());
            CHECK(process(each).peak_memory() <
                  peaks_[each] + memory_growth_limit);
            const auto text = metrics_of(each);
            counted_by +=
                text.find(std::string(metric) +
                          "{backend_server=\"i-endless\"}") != text.npos
                    ? 1
                    : 0;
        }
        CHECK(counted_by > 0);
        CHECK(named_in_log());
    }

    bool named_in_log() {
        std::string lines;
        for (std::size_t each = 0; each < world.instances.size(); ++each) {
            process(each).signal(SIGTERM);
        }
        for (std::size_t each = 0; each < world.instances.size(); ++each) {
            lines += process(each).read_rest();
        }
        const auto at = lines.find("event=backend_answer_malformed");
        return at != lines.npos &&
               lines.find("backend_server=i-endless", at) != lines.npos;
    }

private:
    std::vector<std::size_t> peaks_; // KiB, by instance
};

} // namespace

// Guards against a process that runs out of memory, and callers that wait, at
// a server whose answers to requests never end.
TEST_CASE("bytes without end in place of an answer are borne") {
    const auto what =
        GENERATE(from_range(std::begin(all_bytes), std::end(all_bytes)));
    CAPTURE(static_cast<int>(what));
    endless_world played;
    played.faulty.begin(what, endless_at::requests);
    played.ask_until_begun(4);
    played.check_borne();
}

// Guards against the same at the second copy of a read whose first is slow.
TEST_CASE("bytes without end in place of a second copy's answer are borne") {
    const auto what =
        GENERATE(from_range(std::begin(all_bytes), std::end(all_bytes)));
    CAPTURE(static_cast<int>(what));
    endless_world played;
    std::set<std::string> first_elsewhere;
    for (auto& server : played.world.servers) {
        server->work = 400ms;
        server->on_arrival = [&](const io::http_request& request) {
            first_elsewhere.insert(
                *io::find_header(request.headers, "Waxwingvale-Attempt-Id"));
        };
    }
    played.faulty.chooses = [&](const io::http_request& request) {
        return first_elsewhere.count(*io::find_header(
                   request.headers, "Waxwingvale-Attempt-Id")) != 0;
    };
    played.faulty.begin(what, endless_at::requests);
    played.ask_until_begun(2);
    played.check_borne();
}

// Guards against the same at liveness checks, which no caller waits for.
TEST_CASE("bytes without end in place of a liveness check's answer are borne") {
    const auto what =
        GENERATE(from_range(std::begin(all_bytes), std::end(all_bytes)));
    CAPTURE(static_cast<int>(what));
    endless_world played;
    played.faulty.begin(what, endless_at::checks);
    played.ask_until_begun(2);
    played.check_borne();
}

// Guards against the same on connections that wait for their next request.
TEST_CASE("bytes without end on kept connections are borne") {
    endless_world played;
    played.faulty.begin(endless_bytes::after_answer, endless_at::kept);
    played.ask_until_begun(4);
    played.check_borne();
}
