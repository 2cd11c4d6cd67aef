#include <catch2/catch.hpp>
#include <vector>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

TEST_CASE("answers given while another request is handled go out at once") {
    // Requests wait, and the handling of a later one answers them: a watch of
    // the platform ends because somebody publishes, a resend ends with its
    // first copy. Were they only sent with the server's next event, the
    // callers of a quiet server would wait until their own timeout.
    kernel::event_loop loop;
    kernel::monotonic_clock time;
    kernel::timer_service timers(time, loop);
    io::http_server server(loop, {});
    io::http_client client(loop, {});
    constexpr std::size_t waiting_count = 36;
    std::vector<io::http_responder> waiting;
    REQUIRE(
        server.start([&](io::http_request request, io::http_responder respond) {
            if (request.method == "GET") {
                waiting.push_back(respond);
                return;
            }
            for (const auto& each : waiting) {
                each({200, {}, "released"});
            }
            waiting.clear();
            respond({200, {}, "done"});
        }));
    std::size_t released = 0;
    std::size_t failed = 0;
    const auto ask = [&](const char* method) {
        io::http_call call;
        call.host = "127.0.0.1";
        call.port = server.port();
        call.method = method;
        client.send(std::move(call), [&](io::http_call_result ended) {
            ++(ended.response ? released : failed);
        });
    };
    // Several rounds on kept connections: what is left over from one would
    // only come with the next.
    for (unsigned round = 1; round <= 5; ++round) {
        released = 0;
        for (std::size_t each = 0; each < waiting_count; ++each) {
            ask("GET");
        }
        while (waiting.size() < waiting_count) {
            loop.run_once(true);
        }
        ask("PUT");
        while (released + failed < waiting_count + 1) {
            loop.run_once(true);
        }
        CHECK(failed == 0);
    }
}
