#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "io/paged_reader.hpp"
#include "io/stream_socket.hpp"
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// A watch is answered by 410 or by nothing new.
class eventful_dialect : public io::paged_dialect {
public:
    result<io::published_changes>
    read_watch(const std::string&, std::uint64_t,
               const io::http_response& answer) const override {
        if (answer.status == 410) {
            return error{error_code::stale, "read", "", ""};
        }
        io::published_changes changes;
        changes.changes.push_back({{"1", "", 2, ""}, false});
        return changes;
    }
};

// Answers lists of so many pages, and no watch.
struct paged_platform : io::reader_bench {
    explicit paged_platform(unsigned page_count) : pages(page_count) {
        server
            .start(
                [this](io::http_request request, io::http_responder respond) {
                    if (request.target != "/watch") {
                        answer(request, std::move(respond));
                    }
                })
            .value();
    }

    void answer(const io::http_request& request, io::http_responder respond) {
        ++asked;
        if (refuse_every > 0 && asked % refuse_every == 0) {
            respond({503, {}, ""});
            return;
        }
        late.push_back(timers.after(
            delay, [respond, with = io::page_asked_for(request, pages)](
                       time_point) { respond(with); }));
    }

    io::http_server server{loop, {}};
    unsigned pages;
    unsigned asked = 0;
    unsigned refuse_every = 0;
    duration delay{};
    std::vector<kernel::timer_service::subscription> late;
};

// Sends each answer in pieces, one every `gap`.
struct slow_platform : io::reader_bench {
    slow_platform(duration piece_gap, unsigned piece_count)
        : gap(piece_gap),
          pieces(piece_count),
          listener(io::open_listener("127.0.0.1", 0).value()) {
        accepting = timers.every(5ms, [this](time_point) { accept(); });
    }

    void accept() {
        const int descriptor = io::accept_connection(listener);
        if (descriptor < 0) {
            return;
        }
        const auto place = open.size();
        io::stream_socket_handlers handlers;
        handlers.on_bytes = [this, place](const char*, std::size_t) {
            answer(place);
        };
        handlers.on_end = [this, place] { open[place]->close(); };
        open.push_back(std::make_unique<io::stream_socket>(
            loop, descriptor, false, std::move(handlers)));
        sending.emplace_back();
    }

    void answer(std::size_t place) {
        ++asked;
        if (asked > 1 && readings > 0) {
            return; // a watch
        }
        const auto head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) +
            "\r\n\r\n";
        open[place]->write(head.data(), head.size());
        auto left = std::make_shared<unsigned>(pieces);
        sending[place] = timers.every(gap, [this, place, left](time_point) {
            if (*left > 0) {
                --*left;
                open[place]->write("1", 1);
            }
        });
    }

    duration gap;
    unsigned pieces;
    int listener;
    unsigned asked = 0;
    std::vector<std::unique_ptr<io::stream_socket>> open;
    std::vector<kernel::timer_service::subscription> sending;
    kernel::timer_service::subscription accepting;
};

} // namespace

TEST_CASE("a list is read to its end although some pages are refused") {
    // Guards against a configuration that is never known because each refused
    // page begins a long list anew.
    paged_platform platform(4);
    platform.refuse_every = 3;
    const auto client = platform.start_reading(platform.server.port());
    platform.within(
        3s, [&] { return platform.readings > 0 || platform.asked >= 100; });
    CAPTURE(platform.asked);
    CHECK(platform.readings == 1);
    CHECK(platform.listed == std::vector<std::string>{"1", "2", "3", "4"});
}

TEST_CASE("a list is read to its end although the process stops often") {
    // Guards against old routes for as long as a machine is stopped again and
    // again: each wake-up gave up the answer that was on its way.
    paged_platform platform(3);
    platform.delay = 20ms;
    const auto client = platform.start_reading(platform.server.port());
    const auto waking =
        platform.timers.every(10ms, [&](time_point) { client->read_again(); });
    platform.within(2s, [&] { return platform.readings > 2; });
    CAPTURE(platform.asked);
    CHECK(platform.readings > 2);
}

TEST_CASE("a lost answer is noticed although the process stops often") {
    // Guards against old routes on an instance that runs in slices: each late
    // wake-up began the wait for an answer anew.
    paged_platform platform(1);
    platform.delay = 1h;
    const auto client = platform.start_reading(platform.server.port(), 200ms);
    const auto waking =
        platform.timers.every(50ms, [&](time_point) { client->read_again(); });
    platform.within(1s, [&] { return platform.asked > 1; });
    CHECK(platform.asked > 1);
}

TEST_CASE("a list that is half read when reading pauses is read anew") {
    // Guards against half a list taken for all, without the servers that its
    // first pages name.
    paged_platform platform(3);
    platform.delay = 20ms;
    const auto client = platform.start_reading(platform.server.port());
    REQUIRE(platform.within(1s, [&] { return platform.asked == 2; }));
    client->pause();
    client->resume();
    REQUIRE(platform.within(1s, [&] { return platform.readings > 0; }));
    CHECK(platform.listed == std::vector<std::string>{"1", "2", "3"});
}

TEST_CASE("what was asked before a late wake-up proves nothing") {
    paged_platform platform(2);
    platform.delay = 20ms;
    std::vector<std::uint64_t> epochs;
    const auto client = platform.start_reading(platform.server.port());
    client->watch("all", [&](const io::platform_reading& reading) {
        if (reading.ends) {
            epochs.push_back(reading.epoch);
        }
    });
    client->set_epoch(1);
    platform.within(1s, [&] { return platform.asked > 0; });
    client->set_epoch(2);
    client->read_again();
    platform.within(1s, [&] { return epochs.size() > 1; });
    REQUIRE_FALSE(epochs.empty());
    CHECK(epochs.back() == 2);
    CHECK((epochs.size() == 1 || epochs.front() < 2));
}

TEST_CASE("a long answer that goes on coming is read to its end") {
    // Guards against a configuration that is never known where the link is
    // narrow: it was cut off and asked for anew, again and again.
    slow_platform platform(25ms, 64);
    const auto client =
        platform.start_reading(io::bound_port(platform.listener), 400ms);
    platform.within(5s, [&] { return platform.readings > 0; });
    CAPTURE(platform.asked, client->counters().failed);
    CHECK(platform.readings == 1);
    CHECK(client->counters().failed == 0);
}

TEST_CASE("a platform that sends a byte now and then is given up") {
    slow_platform platform(40ms, 1000000);
    const auto client =
        platform.start_reading(io::bound_port(platform.listener), 100ms);
    CHECK(platform.within(2s, [&] { return client->counters().failed > 0; }));
}

TEST_CASE("a platform that falls silent is given up soon") {
    slow_platform platform(1h, 10);
    const auto client =
        platform.start_reading(io::bound_port(platform.listener), 100ms);
    CHECK(
        platform.within(500ms, [&] { return client->counters().failed > 0; }));
}

namespace {

// Answers every watch at once, by the same status, and counts how long the
// reader goes without word once its burst is used up, at most.
duration longest_wait_for_word(unsigned watch_status) {
    io::reader_bench bench;
    io::http_server server(bench.loop, {});
    server
        .start([&](io::http_request request, io::http_responder respond) {
            const bool watch = request.target == "/watch";
            respond({watch ? watch_status : 200U, {}, "1"});
        })
        .value();
    io::platform_client_options options;
    options.host = "127.0.0.1";
    options.port = server.port();
    const eventful_dialect dialect;
    io::platform_client client(bench.http, bench.timers, dialect, options);
    client.set_share({4., 2., 200ms});
    duration longest{};
    std::optional<time_point> last;
    client.watch("all", [&](const io::platform_reading&) {
        const auto now = bench.time.now();
        longest = std::max(longest, last ? now - *last : duration::zero());
        last = now;
    });
    bench.within(3s, [] { return false; });
    REQUIRE(last);
    return std::max(longest, bench.time.now() - *last);
}

} // namespace

TEST_CASE("word of the platform is late by no more than its share of reads") {
    // Guards against a reader that falls behind when something changes all the
    // time, or when the platform keeps no history and is read whole each time.
    CHECK(longest_wait_for_word(200) < 1s);
    CHECK(longest_wait_for_word(410) < 1s);
}
