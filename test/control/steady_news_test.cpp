#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "control/control_service.hpp"
#include <waxwingvale/entry/backend_seen.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/view_published.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

program::settings settings_of_one() {
    program::settings settings;
    settings.instance.name = "sea-1";
    settings.control.administration = false;
    settings.platform.host = "127.0.0.1";
    settings.platform.port = 1; // nothing listens there
    settings.platform.reads_per_second = 2000;
    settings.platform.watch = 600ms;
    settings.platform.answer_within = 400ms;
    return settings;
}

// An instance whose time is moved by hand, and that hears of a backend server
// again and again.
struct told_instance {
    kernel::manual_clock clock;
    kernel::timer_service timers{clock};
    kernel::event_loop loop;
    kernel::service_registry services;
    kernel::message_bus bus;
    io::message_hub hub{loop, timers, {}};
    program::metrics metrics;
    program::settings settings = settings_of_one();
    control::published_values published;
    std::unique_ptr<control::control_service> control;
    std::map<std::string, time_point> told; // and in no view yet
    duration longest{};

    told_instance() {
        services.provide(program::service_name::bus, bus).value();
        services.provide(program::service_name::peers, hub).value();
        membership::member_record self;
        self.id = {"sea-1", 1};
        control = std::make_unique<control::control_service>(
            program::program_environment{settings, loop, timers, services,
                                         metrics},
            self, 1, published);
        control->start().value();
        bus.subscribe<program::view_published>([this](const auto& made) {
            for (const auto& belief : made.now->beliefs) {
                see(belief.backend_server);
            }
        });
    }

    void see(const std::string& name) {
        const auto known = told.find(name);
        if (known != told.end()) {
            longest = std::max(longest, clock.now() - known->second);
            told.erase(known);
        }
    }

    void pass(duration step) {
        clock.advance(step);
        timers.fire_due();
    }

    void tell(const std::string& name) {
        told[name] = clock.now();
        bus.publish(entry::backend_seen{{name, 1, backend_state::serving,
                                         belief_source::traffic, "sea-1",
                                         clock.now()}});
    }
};

} // namespace

TEST_CASE("news in shorter order than its waits is in a view soon") {
    // Guards against views that come only once it is quiet.
    told_instance one;
    for (int each = 0; each < 200; ++each) {
        one.pass(10ms); // beyond what the first view waits for
    }
    for (int each = 0; each < 1000; ++each) {
        one.tell("slate-" + std::to_string(each));
        one.pass(500us);
    }
    one.pass(10ms);
    CHECK(one.told.size() <= 1);
    CHECK(one.longest > 0ms);
    CHECK(one.longest <= 5ms);
}
