#include <catch2/catch.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <waxwingvale/program/log_writer.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using program::log_weight;

namespace {

constexpr std::size_t line_bytes = 200;

// Writes one line of an event; whether it was taken.
bool log_line(program::log_writer& writer, const std::string& event,
              time_point now) {
    const auto before = writer.dropped_lines();
    const std::string text = "level=WARNING event=" + event + " ";
    writer.add(text + std::string(line_bytes - text.size() - 1, 'x') + "\n",
               log_weight::change, now, event);
    writer.flush();
    return writer.dropped_lines() == before;
}

} // namespace

TEST_CASE("a flood of one event does not keep the others out of the log") {
    // Guards against a log without the configurations and losses of a time in
    // which a broken peer's messages were refused all along.
    const int nowhere = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    REQUIRE(nowhere >= 0);
    program::log_writer writer(nowhere, {});
    constexpr unsigned seconds = 60;
    unsigned taken = 0;
    unsigned flood_taken = 0;
    for (unsigned second = 0; second < seconds; ++second) {
        const auto now = time_point{} + second * 1s;
        for (int each = 0; each < 1000; ++each) {
            flood_taken +=
                log_line(writer, "peer_message_refused", now + each * 1ms);
        }
        taken += log_line(writer, "configuration_in_force", now + 999ms);
    }
    CHECK(taken == seconds);
    CHECK(flood_taken >= seconds);
    CHECK(flood_taken * line_bytes <= 256 * 1024 + seconds * 32 * 1024);
    ::close(nowhere);
}
