#include "standin/node_observer.hpp"

#include <utility>

#include "io/exchange_codec.hpp"
#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::standin {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr std::size_t belief_limit = 100'000;

membership::member_record nobody(const std::string& name) {
    membership::member_record record;
    record.id.name = name; // without a life, so that nobody is told of it
    return record;
}

result<configuration> parse(const configuration_text& file) {
    return parse_configuration(file.text, "configuration", file.revision);
}

} // namespace

struct node_observer::tables {
    tables(const std::string& name, time_point now)
        : configurations(parse),
          members(nobody(name), {}, now),
          beliefs(belief_limit),
          registry(belief_limit),
          quarantine({}),
          readers(name, 0, false, {}, now),
          fresh(std::chrono::hours(1), now),
          exchange(
              {configurations, members, beliefs, registry, quarantine, readers},
              fresh, {}, 1, now) {}

    membership::configuration_register configurations;
    membership::member_table members;
    membership::belief_table beliefs;
    membership::registry_table registry;
    membership::crash_verdict_table quarantine;
    membership::reader_duty readers;
    membership::freshness fresh;
    membership::peer_exchange exchange;
};

node_observer::node_observer(kernel::event_loop& loop,
                             kernel::timer_service& timers,
                             std::string instance,
                             const std::string& shared_key,
                             std::uint16_t control_port)
    : timers_(timers), instance_(std::move(instance)) {
    io::message_hub_options options;
    options.self_name = "observer-of-" + instance_;
    options.shared_key = shared_key;
    tables_ = std::make_unique<tables>(options.self_name, timers.now());
    hub_ = std::make_unique<io::message_hub>(loop, timers, options);
    hub_->on_link_change([this](const std::string& peer, bool up) {
        if (up) {
            tables_->exchange.link_up(peer, timers_.now());
        } else {
            tables_->exchange.link_down(peer, timers_.now());
        }
        send_waiting();
    });
    for (const auto* kind : io::exchange_kinds) {
        hub_->on_message(kind,
                         [this, kind](const std::string&, const auto& body) {
                             receive(kind, body);
                         });
    }
    hub_->connect(instance_, "127.0.0.1", control_port);
    ticking_ = timers.every(tick_period, [this](time_point now) {
        tables_->exchange.tick(now);
        send_waiting();
    });
}

node_observer::~node_observer() = default;

void node_observer::receive(const std::string& kind,
                            const io::message_hub::payload& body) {
    const auto now = timers_.now();
    const auto message = io::decode_exchange(kind, body, now);
    if (message) {
        heard_ = now;
        tables_->exchange.receive(instance_, message.value(), now);
        send_waiting();
    }
}

void node_observer::send_waiting() {
    const auto now = timers_.now();
    for (const auto& each : tables_->exchange.take_messages(now)) {
        hub_->send(each.peer, io::kind_of(*each.message),
                   io::encode_exchange(*each.message, now));
    }
}

view node_observer::seen() const {
    view made;
    made.config = tables_->configurations.in_force();
    made.published = tables_->configurations.file_in_force();
    for (const auto& each : tables_->members.members()) {
        if (each.id.incarnation == 0) {
            continue;
        }
        made.members.push_back(each);
        if (each.id.name == instance_) {
            made.self = each;
        }
    }
    for (const auto& record : tables_->beliefs.records()) {
        made.beliefs.push_back(membership::to_belief(record));
    }
    made.quarantined = tables_->quarantine.fingerprints();
    return made;
}

const io::message_hub_counters& node_observer::counters() const {
    return hub_->counters();
}

void node_observer::tell(const backend_belief& belief) {
    tables_->beliefs.observe(belief);
    send_waiting();
}

void node_observer::tell(const membership::death_record& death) {
    tables_->quarantine.add_death(death);
    send_waiting();
}

} // namespace waxwingvale::standin
