#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <waxwingvale/program/log_writer.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using program::log_weight;
using program::log_writer;

namespace {

struct pipe_ends {
    pipe_ends() { REQUIRE(::pipe2(ends, O_CLOEXEC) == 0); }
    ~pipe_ends() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    // What the pipe holds at the moment.
    std::string read_all() const {
        std::string text;
        char bytes[65536];
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (;;) {
            const auto got = ::read(ends[0], bytes, sizeof bytes);
            if (got <= 0) {
                return text;
            }
            text.append(bytes, static_cast<std::size_t>(got));
        }
    }

    int ends[2];
};

std::string line_of(std::size_t size) {
    return std::string(size - 1, 'x') + "\n";
}

constexpr time_point start{};

} // namespace

TEST_CASE("lines reach their reader whole and in order") {
    const pipe_ends pipe;
    log_writer writer(pipe.ends[1], {});
    writer.add("one\n", log_weight::change, start);
    writer.add("two\nthree\n", log_weight::detail, start);
    writer.flush();
    CHECK(pipe.read_all() == "one\ntwo\nthree\n");
    CHECK(writer.waiting() == 0);
}

// Whatever collects the logs hangs and reads nothing more, so that the pipe
// fills up. A process that waited for it would answer no request any more; here
// callers notice nothing, and the log says afterwards what it lacks.
TEST_CASE("a reader that stops costs lines and nothing else") {
    const pipe_ends pipe;
    program::log_limits limits;
    limits.burst = 10'000'000;
    log_writer writer(pipe.ends[1], limits);
    for (int i = 0; i < 2000; ++i) {
        writer.add(line_of(1000), log_weight::change, start);
        writer.flush(); // would hang for good if it waited
    }
    CHECK(writer.waiting() <= limits.waiting);
    CHECK(writer.dropped_lines() > 1000);

    pipe.read_all();
    for (int i = 0; i < 10 && writer.waiting() > 0; ++i) {
        writer.flush();
        pipe.read_all();
    }
    writer.add("after\n", log_weight::change, start);
    writer.flush();
    const auto told = pipe.read_all();
    CHECK(told.find("event=log_lines_dropped") != std::string::npos);
    CHECK(told.find("after\n") != std::string::npos);
}

// Every request of a busy minute is refused, and each would like to log its
// story. The volume stays within its bound, and what changes the process's
// belief is still logged.
TEST_CASE("details leave room for changes, and the rate is bounded") {
    const pipe_ends pipe;
    program::log_limits limits;
    limits.rate = 1000;
    limits.burst = 5000;
    limits.reserve = 2000;
    log_writer writer(pipe.ends[1], limits);
    for (int i = 0; i < 100; ++i) {
        writer.add(line_of(100), log_weight::detail, start);
    }
    CHECK(writer.waiting() == 3000);
    CHECK(writer.dropped_lines() == 70);
    writer.add("changed\n", log_weight::change, start);
    CHECK(writer.waiting() > 3000);

    writer.flush();
    pipe.read_all();
    for (int i = 0; i < 100; ++i) {
        writer.add(line_of(100), log_weight::detail, start + 2s);
    }
    CHECK(writer.waiting() <= 2000);
}
