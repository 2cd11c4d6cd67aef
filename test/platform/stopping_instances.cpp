#include "platform/stopping_instances.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t instance_count = 5;
constexpr std::size_t server_count = 8;
// Longer than all that keeps an answer from its caller here.
constexpr duration route_timeout = 8s;
constexpr duration stop_period = 450ms;
constexpr duration look_period = 10ms;
constexpr duration deprive_period = 150ms;
constexpr int ended_by_sigterm = 128 + SIGTERM;
constexpr auto shortest_deprived_ms = 100;
constexpr auto longest_deprived_ms = 500;

json route(const char* prefix, const char* kind) {
    return {{"Name", prefix},       {"Host", "a.example"},
            {"PathPrefix", prefix}, {"Kind", kind},
            {"MaxAttempts", 2},     {"Timeout", route_timeout / 1ms},
            {"Service", "view"}};
}

void add_to(std::vector<std::string>& all, const std::vector<std::string>& of) {
    all.insert(all.end(), of.begin(), of.end());
}

} // namespace

stopping_instances::stopping_instances(std::uint32_t seed)
    : world(instance_count, server_count),
      random_(seed),
      told_to_stop_(instance_count) {
    publish(json::object());
}

void stopping_instances::set_idle_limit(duration limit) {
    publish({{"IdleTimeout", limit / 1ms}});
}

void stopping_instances::publish(const json& limits) {
    json file;
    file["Version"] = ++published_;
    file["Routes"]["look"] = route("/look/", "idempotent");
    file["Routes"]["book"] = route("/book/", "non_idempotent");
    file["Services"]["view"] = {{"Name", "view"}, {"HealthPath", "/healthz"}};
    file["Limits"] = limits;
    world.store.write(file.dump());
    world.go_on(500ms);
}

void stopping_instances::add_callers(std::size_t count,
                                     kept_caller::habits has) {
    for (std::size_t each = 0; each < count * instance_count; ++each) {
        const auto number = callers_.size();
        callers_.push_back(std::make_unique<kept_caller>(
            world.loop, world.timers,
            world.instances.caller_port(each % instance_count),
            "caller-" + std::to_string(number), has, random_()));
    }
}

void stopping_instances::stop_next() {
    const auto stopped = next_++ % instance_count;
    if (!told_to_stop_[stopped]) {
        world.instances.process(stopped).signal(SIGTERM);
        told_to_stop_[stopped] = true;
    }
}

void stopping_instances::start_ended() {
    for (std::size_t each = 0; each < instance_count; ++each) {
        auto& process = world.instances.process(each);
        if (!process.running()) {
            note_end_of(process);
            told_to_stop_[each] = false;
            world.instances.start_again(each);
        }
    }
}

// One that was told to stop before it had begun to run is ended by the signal;
// it has written nothing then.
void stopping_instances::note_end_of(standin::child_process& ended) {
    const auto code = ended.wait().value_or(-1);
    const bool had_begun = !ended.read_rest().empty();
    if (had_begun || code != ended_by_sigterm) {
        exit_codes_.push_back(code);
    }
}

// A process that is stopped in this way cannot end until it is continued, so
// that its number still means the same one then.
void stopping_instances::deprive_one() {
    const auto which = random_() % instance_count;
    const auto range = longest_deprived_ms - shortest_deprived_ms;
    const auto time = 1ms * (shortest_deprived_ms + random_() % range);
    world.instances.process(which).signal(SIGSTOP);
    deprived_.push_back(world.timers.after(time, [this, which](time_point) {
        world.instances.process(which).signal(SIGCONT);
    }));
}

void stopping_instances::play(duration time) {
    {
        const auto stopping = world.timers.every(
            stop_period, [this](time_point) { stop_next(); });
        const auto starting = world.timers.every(
            look_period, [this](time_point) { start_ended(); });
        const auto depriving = world.timers.every(
            deprive_period, [this](time_point) { deprive_one(); });
        world.go_on(time);
        finish_callers();
    }
    stop_all();
}

void stopping_instances::finish_callers() {
    for (const auto& each : callers_) {
        each->finish();
    }
    CHECK(world.go_on_until([this] {
        return std::all_of(callers_.begin(), callers_.end(),
                           [](const auto& each) { return each->at_rest(); });
    }));
}

void stopping_instances::stop_all() {
    deprived_.clear();
    for (std::size_t each = 0; each < instance_count; ++each) {
        world.instances.process(each).signal(SIGCONT);
        world.instances.process(each).signal(SIGTERM);
    }
    for (std::size_t each = 0; each < instance_count; ++each) {
        auto& process = world.instances.process(each);
        CHECK(world.go_on_until([&] { return !process.running(); }));
        note_end_of(process);
    }
}

kept_caller::results stopping_instances::seen() const {
    kept_caller::results all;
    for (const auto& each : callers_) {
        add_to(all.served, each->seen().served);
        add_to(all.answered, each->seen().answered);
        add_to(all.closed, each->seen().closed);
        add_to(all.cut, each->seen().cut);
        all.refused += each->seen().refused;
    }
    return all;
}

} // namespace waxwingvale::platform
