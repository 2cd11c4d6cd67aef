#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/stopping_instances.hpp"
#include "standin/request_ends.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;
using standin::request_ends;

namespace {

constexpr duration played_for = 7s;
constexpr std::size_t least_served = 200; // requests

using strings = std::vector<std::string>;

// Requests without an answer that an instance has a line of: it read them.
strings read_and_closed(const kept_caller::results& seen) {
    strings found;
    const auto lines = request_ends::of_instances().by_name();
    for (const auto& name : seen.closed) {
        const auto of = lines.find(name);
        if (of != lines.end()) {
            found.insert(found.end(), of->second.begin(), of->second.end());
        }
    }
    return found;
}

// Served requests that have not one line which says so. One that is answered by
// a process that has no configuration yet has a line without its name.
strings not_told_once(const kept_caller::results& seen) {
    strings found;
    const auto lines = request_ends::of_instances().by_name();
    for (const auto& name : seen.served) {
        const auto of = lines.find(name);
        const strings told = of == lines.end() ? strings() : of->second;
        const bool once =
            told.size() == 1 &&
            told.front().find(" end=answered ") != std::string::npos;
        if (!once) {
            found.push_back(name + ", lines: " + std::to_string(told.size()));
            found.insert(found.end(), told.begin(), told.end());
        }
    }
    return found;
}

void check(const stopping_instances& played) {
    const auto seen = played.seen();
    const auto answered = seen.served.size() + seen.answered.size();
    const auto& codes = played.exit_codes();
    const std::vector<int> in_order(codes.size());
    auto& ends = request_ends::of_instances();
    INFO(seen.served.size()
         << " served, " << seen.answered.size() << " answered otherwise, "
         << seen.closed.size() << " closed, " << seen.refused
         << " refused a connection");
    const strings none;
    CHECK(ends.take_instances_doing() == none);
    CHECK(seen.cut == none);
    CHECK(read_and_closed(seen) == none);
    if (ends.lines_were_dropped()) {
        WARN("lines were dropped: not counted");
    } else {
        CHECK(not_told_once(seen) == none);
        CHECK(ends.ended("answered") >= answered);
    }
    CHECK(seen.served.size() > least_served);
    CHECK(codes.size() > played.world.instances.size());
    CHECK(codes == in_order);
}

void slow_some_servers(stopping_instances& in, duration work) {
    for (std::size_t each = 0; each < in.world.servers.size(); each += 3) {
        in.world.servers[each]->work = work;
    }
}

std::string long_body() {
    constexpr std::size_t least = 512 * 1024; // bytes
    static std::size_t asked = 0;
    return std::string(least * (1 + asked++ % 4), 'z');
}

} // namespace

// Guards against requests read by an instance that stops, or by one that gets
// no processor time, and then left without an answer.
TEST_CASE("instances that stop and run late answer all that they read") {
    stopping_instances played(1);
    slow_some_servers(played, 300ms);
    played.add_callers(14, {});
    played.play(played_for);
    check(played);
}

// Guards against the same where connections are closed for want of requests,
// just when their callers ask again.
TEST_CASE("late instances with a short idle limit answer all that they read") {
    stopping_instances played(2);
    played.set_idle_limit(120ms);
    played.add_callers(14, {});
    played.play(played_for);
    check(played);
}

// Guards against the same for requests whose body comes in pieces, of which
// the last one may come after the instance was told to stop.
TEST_CASE("instances that stop wait for bodies and answer all that they read") {
    stopping_instances played(3);
    slow_some_servers(played, 300ms);
    played.add_callers(8, {6000, false});
    played.add_callers(4, {});
    played.play(played_for);
    check(played);
}

// Guards against long answers that break off when an instance ends, on their
// way to callers who read slowly.
TEST_CASE("instances that stop send long answers to their ends") {
    stopping_instances played(4);
    for (auto& each : played.world.servers) {
        each->body_of = [](const io::http_request&) { return long_body(); };
    }
    played.add_callers(2, {0, true});
    played.add_callers(1, {3000, true});
    played.add_callers(2, {});
    played.play(played_for);
    check(played);
}
