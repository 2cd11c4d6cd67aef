#include <catch2/catch.hpp>

#include "entry/call_log.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

call_record read_call() {
    call_record call(7, nullptr);
    call.kind.nature = request_nature::retriable;
    call.attempts_here = 1;
    call.target = time_point() + 200ms;
    return call;
}

const call_end in_time{run_outcome::ran, true, time_point() + 100ms};

} // namespace

TEST_CASE("a read that is answered in time at once leaves no lines") {
    CHECK(part_to_log(read_call(), in_time) == story_part::none);
}

TEST_CASE("whatever an engineer may be asked about leaves its story") {
    auto retried = read_call();
    retried.attempts_here = 2;
    CHECK(part_to_log(retried, in_time) == story_part::whole);

    auto booking = read_call();
    booking.kind.nature = request_nature::at_most_once;
    CHECK(part_to_log(booking, in_time) == story_part::outcome);

    auto end = in_time;
    end.when = time_point() + 201ms; // late
    CHECK(part_to_log(read_call(), end) == story_part::whole);
    end = in_time;
    end.outcome = run_outcome::not_run; // refused
    CHECK(part_to_log(read_call(), end) == story_part::whole);
    end = in_time;
    end.answered = false; // its caller has left, or its answer was cut
    CHECK(part_to_log(read_call(), end) == story_part::whole);
}

TEST_CASE("a story has a bound, and facts are written so that they split") {
    call_story story;
    for (int i = 0; i < 1000; ++i) {
        story.add(time_point(), "call_queued");
    }
    CHECK(story.steps().size() < 100);
    CHECK(fact("path", std::string("/a b")) == "path=\"/a b\"");
    CHECK(fact("took_ms", duration(81'250us)) == "took_ms=81.2");
    CHECK(fact("queued", std::uint64_t{3}) == "queued=3");
}
