#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "entry/own_protocol.hpp"
#include "entry/prober.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::entry;

namespace {

// A prober that owns one backend server, where nothing listens, on a clock that
// is moved by hand.
class probed_server : probe_outlet {
public:
    // The probes of a minute, with a view after each of those times; 0: with
    // the first only.
    std::size_t probes_in_a_minute(duration between_views) {
        publish();
        duration since_view{};
        for (duration passed{}; passed < 60s; passed += step) {
            clock_.advance(step);
            timers_.fire_due();
            loop_.run_once(false);
            since_view += step;
            if (between_views > 0ms && since_view >= between_views) {
                since_view = 0ms;
                publish();
            }
        }
        return ended_;
    }

private:
    static constexpr duration step = 5ms;

    // Each names another server beside the one that stays.
    void publish() {
        service of;
        of.name = "desk";
        of.budgets.probes = 0.5;
        for (const auto& name : {std::string("a"), std::to_string(views_)}) {
            backend_server server;
            server.name = name;
            server.host = "127.0.0.1";
            server.port = 1;
            of.backend_servers.push_back(server);
        }
        auto config = std::make_shared<configuration>();
        config->revision = ++views_;
        config->services = {of};
        auto now = std::make_shared<view>();
        now->config = config;
        member self;
        self.id = {"entry-0", 1};
        now->members = {self};
        prober_.take(program::with_owners(now));
    }

    std::vector<std::string>
    servers_to_probe(const std::string& /*service*/) override {
        return {"a"};
    }
    bool may_probe(const std::string& /*service*/,
                   const std::string& /*backend_server*/) override {
        return true;
    }
    void on_probe_sent(const std::string& /*service*/,
                       const std::string& /*backend_server*/) override {}
    void on_probe(const std::string& /*service*/, const std::string& server,
                  time_point /*sent*/,
                  const backend_answer& /*answer*/) override {
        ended_ += server == "a" ? 1 : 0;
    }

    kernel::event_loop loop_;
    kernel::manual_clock clock_;
    kernel::timer_service timers_{clock_};
    forwarding::backend_pool pool_{loop_, timers_};
    own_protocol protocol_;
    program::metrics metrics_;
    std::uint64_t views_ = 0;
    std::size_t ended_ = 0;
    io::message_hub hub_{loop_, timers_, {"entry-0/entry", "key"}};
    reach_watch reach_{protocol_,
                       timers_,
                       pool_,
                       hub_,
                       metrics_.add_gauge("partitioned", "Partitioned."),
                       metrics_.add_counter("checks", "Checks.")};
    prober prober_{"entry-0",
                   protocol_,
                   timers_,
                   pool_,
                   metrics_.add_counter("probes", "Probes."),
                   reach_,
                   *this};
};

} // namespace

TEST_CASE("views that follow each other do not put off probes") {
    // A probe every two seconds, from seven on: one period after the wait for
    // a former owner. Each view names another server beside.
    CHECK(probed_server().probes_in_a_minute(0ms) == 27);
    CHECK(probed_server().probes_in_a_minute(250ms) == 27);
    CHECK(probed_server().probes_in_a_minute(20ms) == 27);
}
