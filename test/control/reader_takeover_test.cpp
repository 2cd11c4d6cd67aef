#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "control/control_service.hpp"
#include "io/exchange_codec.hpp"
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/view_published.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// One list of a configuration and a server; a watch tells that it is gone.
class small_dialect : public io::platform_dialect {
public:
    std::string list_target(const std::string&,
                            const std::string&) const override {
        return "/list";
    }
    std::string watch_target(const std::string&, std::uint64_t,
                             duration) const override {
        return "/watch";
    }
    result<io::published_page>
    read_list(const std::string&,
              const io::http_response& answer) const override {
        if (answer.status != 200) {
            return error{error_code::unavailable, "read", "", ""};
        }
        return io::published_page{
            {{"config", "", 1, ""}, {"slate-1", "", 2, ""}}, false, 2};
    }
    result<io::published_changes>
    read_watch(const std::string&, std::uint64_t,
               const io::http_response&) const override {
        return io::published_changes{{{{"slate-1", "", 3, ""}, true}}, 3};
    }
};

class small_state : public control::published_state {
public:
    const io::platform_dialect& dialect() const override { return dialect_; }
    std::vector<std::string> topics() const override { return {"all"}; }
    result<control::published_fact>
    decode(const io::published_item& item) const override {
        if (item.key == "config") {
            return control::published_fact(configuration_text{1, ""});
        }
        membership::registry_record record{item.key, item.revision, true, {}};
        record.entry.service = "slate-view";
        return control::published_fact(record);
    }
    control::published_fact
    decode_removal(const std::string& key,
                   const membership::publication_stamp& stamp) const override {
        return membership::registry_record{key, stamp, false, {}};
    }
    bool lists_backend_servers(const std::string&) const override {
        return true;
    }
    result<configuration> parse(const configuration_text& file) const override {
        configuration parsed;
        parsed.revision = file.revision;
        parsed.services.resize(1);
        parsed.services[0].name = "slate-view";
        return parsed;
    }

private:
    small_dialect dialect_;
};

io::message_hub_options hub_options(const std::string& name) {
    io::message_hub_options options;
    options.self_name = name;
    options.shared_key = "secret";
    return options;
}

// The instance sea-1, its platform, and the peer pdx-1 that reads it for both.
// Time is moved by hand.
struct pair_of_readers {
    kernel::manual_clock clock;
    kernel::timer_service timers{clock};
    kernel::event_loop loop;
    kernel::service_registry services;
    kernel::message_bus bus;
    io::message_hub hub{loop, timers, hub_options("sea-1")};
    io::message_hub peer{loop, timers, hub_options("pdx-1")};
    io::http_server platform{loop, {}};
    program::metrics metrics;
    program::settings settings;
    small_state published;
    std::unique_ptr<control::control_service> control;
    std::optional<io::http_responder> watch;
    bool refuses = true;
    bool peer_reads = true;
    unsigned lists = 0;
    std::size_t usable = 0; // servers in the last view

    pair_of_readers() {
        clock.advance(1h);
        peer.listen("127.0.0.1", 0).value();
        platform
            .start(
                [this](io::http_request request, io::http_responder respond) {
                    if (request.target == "/watch") {
                        watch = respond;
                        return;
                    }
                    ++lists;
                    respond({refuses ? 503U : 200U, {}, ""});
                })
            .value();
        settings.instance.name = "sea-1";
        settings.platform = {"127.0.0.1", platform.port(), 2000,
                             1,           600ms,           400ms};
        settings.peers.seeds = {{"127.0.0.1", peer.port()}};
        settings.control.administration = false;
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
            const auto& config = made.now->config;
            usable = config ? config->services[0].backend_servers.size() : 0;
        });
    }

    void tell(const membership::exchange_message& message) {
        peer.send("sea-1", io::kind_of(message),
                  io::encode_exchange(message, clock.now()));
    }

    void pass(duration time) {
        constexpr auto step = 50ms;
        for (duration passed{}; passed < time; passed += step) {
            if (peer_reads) {
                membership::records_message members;
                membership::member_record record;
                record.id = {"pdx-1", 1};
                record.capacity.cpu_permille = 4000;
                members.members.push_back(record);
                tell(members);
                tell(membership::platform_status{"pdx-1", {}, 0, 0});
            }
            clock.advance(step);
            timers.fire_due();
            for (int turn = 0; turn < 10; ++turn) {
                loop.run_once(false);
                std::this_thread::sleep_for(500us);
            }
        }
    }
};

} // namespace

TEST_CASE("a failure before others read does not hold up removals") {
    // Guards against requests to a server 2 s after its leave was known, on an
    // instance that takes over reading and had once been refused.
    pair_of_readers pair;
    pair.pass(2s);
    REQUIRE(pair.peer.connected("sea-1"));
    REQUIRE(pair.lists == 0);
    pair.peer_reads = false;
    pair.pass(2s);
    REQUIRE(pair.lists > 0);
    pair.peer_reads = true;
    pair.pass(20s);
    const auto lists_before = pair.lists;
    pair.pass(5s);
    REQUIRE(pair.lists == lists_before);

    pair.peer_reads = false;
    pair.refuses = false;
    for (int each = 0; each < 100 && !pair.watch; ++each) {
        pair.pass(50ms);
    }
    pair.pass(100ms);
    REQUIRE(pair.usable == 1);
    (*pair.watch)({200, {}, ""});
    pair.pass(1s);
    CHECK(pair.usable == 0);
}
