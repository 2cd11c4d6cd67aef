#include "fleet_simulation.hpp"

#include <algorithm>

#include "io/exchange_codec.hpp"
#include "simulated_reader.hpp"
#include <waxwingvale/membership/link_plan.hpp>

namespace waxwingvale {

namespace {

using namespace membership;

constexpr duration tick_period = std::chrono::milliseconds(100);
constexpr duration flush_delay = std::chrono::milliseconds(2);
constexpr duration link_opening = std::chrono::milliseconds(5);
constexpr double platform_reads_per_second = 2000;
constexpr duration unwanted_limit = std::chrono::seconds(5);
constexpr duration within_data_centre = std::chrono::microseconds(200);
constexpr duration between_data_centres = std::chrono::microseconds(900);
constexpr unsigned seed_count = 3;
// Readers, owners and standbys of three services.
constexpr std::size_t central_count = 13;
// A frame, its tag and the headers below it.
constexpr std::size_t message_overhead = 90;
// What a message costs a whole core, sent or received.
constexpr duration cost_of_message = std::chrono::microseconds(60);
constexpr std::chrono::nanoseconds cost_of_byte{80};

result<configuration> validate(const configuration_text& file) {
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

registry_record server_record(const std::string& name, std::uint64_t revision) {
    registry_record record;
    record.name = name;
    record.revision = revision;
    record.entry.service = "slate-view";
    record.entry.host = "10.3.0.117";
    record.entry.port = 8080;
    record.entry.data_centre = "centre-2";
    record.entry.version = "v17";
    record.entry.slots = 6;
    record.entry.incarnation = 1790000000000;
    return record;
}

} // namespace

struct fleet_simulation::instance {
    instance(const member_record& self, std::uint64_t life, bool expects_peers,
             time_point now)
        : members(self, {}, now),
          readers(self.id.name, 1, expects_peers, {}, now),
          fresh(std::chrono::milliseconds(500), now),
          exchange(
              {configurations, members, beliefs, registry, quarantine, readers},
              fresh, {}, life, now),
          life_number(life) {
        members.start_life(life);
    }

    configuration_register configurations{validate};
    member_table members;
    belief_table beliefs{8192};
    registry_table registry{8192};
    quarantine_table quarantine{{}};
    reader_duty readers;
    freshness fresh;
    peer_exchange exchange;
    std::uint64_t life_number;
    bool running = false;
    bool flush_planned = false;
    bool frozen = false;
    std::vector<std::function<void()>> missed; // while it was frozen
    std::unique_ptr<simulated_reader> reader;
    std::uint64_t listed_at = 0; // revision of the list that was read
    std::uint64_t members_planned = 0;
    std::set<std::string> wanted;
    std::set<std::string> central;
    std::map<std::string, time_point> unwanted_since;
    std::set<std::string> seed_links;
    // When the processor and the link are free again.
    time_point processor{};
    time_point sending{};
    time_point receiving{};
};

fleet_simulation::fleet_simulation(const fleet_shape& shape)
    : shape_(shape),
      random_(shape.seed),
      instances_(shape.instances),
      platform_(
          now_,
          [this](time_point when, std::function<void()> run) {
              at(when, std::move(run));
          },
          shape.watch),
      sent_by_(shape.instances) {
    for (unsigned each = 0; each < shape_.instances; ++each) {
        numbers_[name_of(each)] = each;
    }
    for (unsigned each = 0; each < shape_.backend_servers; ++each) {
        register_server("i-" + std::to_string(10000 + each));
    }
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::at(time_point when, std::function<void()> run) {
    events_.push({when, ++scheduled_, std::move(run)});
}

duration fleet_simulation::random_within(duration limit) {
    std::uniform_int_distribution<duration::rep> any(0, limit.count());
    return duration(any(random_));
}

unsigned fleet_simulation::random_below(unsigned limit) {
    return std::uniform_int_distribution<unsigned>(0, limit - 1)(random_);
}

std::string fleet_simulation::name_of(unsigned number) const {
    return "edge-" + std::to_string(centre_of(number)) + "-" +
           std::to_string(number / shape_.data_centres);
}

unsigned fleet_simulation::centre_of(unsigned number) const {
    return number % shape_.data_centres;
}

void fleet_simulation::start_all() {
    const auto strong = shape_.strong_per_data_centre * shape_.data_centres;
    for (unsigned each = 0; each < shape_.instances; ++each) {
        const auto start_up = each < strong ? std::chrono::milliseconds(400)
                                            : std::chrono::milliseconds(1500);
        start(each, start_up + random_within(std::chrono::milliseconds(600)));
    }
}

void fleet_simulation::start(unsigned number, duration after) {
    at(now_ + after, [this, number] { begin(number); });
}

void fleet_simulation::begin(unsigned number) {
    const auto strong = shape_.strong_per_data_centre * shape_.data_centres;
    member_record self;
    self.id.name = name_of(number);
    self.data_centre = "centre-" + std::to_string(centre_of(number));
    self.addresses.host = "10.1." + std::to_string(number / 250) + "." +
                          std::to_string(number % 250 + 1);
    self.addresses.caller_port = 8381;
    self.addresses.steer_port = 8383;
    self.addresses.control_port = 8382;
    self.capacity.cpu_permille = number < strong ? 500 : 100;
    self.capacity.link_mbps = number < strong ? 200 : 20;
    const auto life = 1790000000000 + ++lives_;
    const bool reads_first = shape_.seeds_read_first && number < seed_count;
    instances_[number] =
        std::make_unique<instance>(self, life, !reads_first, now_);
    auto& begun = *instances_[number];
    begun.running = true;
    simulated_reader::surroundings around;
    around.now = [this] { return now_; };
    around.after = [this, number](duration wait, std::function<void()> run) {
        after(number, wait, std::move(run));
    };
    around.ask = [this, number, life](std::optional<std::uint64_t> since,
                                      const simulated_platform::handler& to) {
        platform_.ask(number, since,
                      [this, number, life, to](const platform_answer& answer) {
                          run_on(number, life, [to, answer] { to(answer); });
                      });
    };
    around.on_reading = [this, number](const platform_answer& answer) {
        take_reading(number, answer);
    };
    around.on_state = [this, number](bool answers) {
        instances_[number]->exchange.set_platform_answers(answers);
    };
    begun.reader = std::make_unique<simulated_reader>(std::move(around),
                                                      shape_.watch, life);
    tick(number);
}

bool fleet_simulation::may_act(unsigned number) const {
    return instances_[number] && instances_[number]->running &&
           !instances_[number]->frozen;
}

void fleet_simulation::run_on(unsigned number, std::uint64_t life,
                              const std::function<void()>& run) {
    auto& self = *instances_[number];
    if (self.life_number != life || !self.running) {
        return;
    }
    if (self.frozen) {
        self.missed.push_back(
            [this, number, life, run] { run_on(number, life, run); });
        return;
    }
    beat(number);
    run();
}

void fleet_simulation::after(unsigned number, duration wait,
                             std::function<void()> run) {
    at(now_ + wait, [this, number, life = instances_[number]->life_number,
                     run = std::move(run)] { run_on(number, life, run); });
}

// Before anything else, whatever happens first.
void fleet_simulation::beat(unsigned number) {
    auto& self = *instances_[number];
    if (self.fresh.beat(now_)) {
        self.reader->read_again();
        self.exchange.woke_late(now_);
        flush(number);
    }
}

void fleet_simulation::freeze(unsigned number, duration time) {
    if (!may_act(number)) {
        return;
    }
    instances_[number]->frozen = true;
    at(now_ + time, [this, number, life = instances_[number]->life_number] {
        if (instances_[number]->life_number == life) {
            wake(number);
        }
    });
}

void fleet_simulation::wake(unsigned number) {
    auto& self = *instances_[number];
    self.frozen = false;
    if (!self.running) {
        return;
    }
    for (const auto& run : std::exchange(self.missed, {})) {
        run();
    }
}

void fleet_simulation::kill(unsigned number) {
    if (!instances_[number] || !instances_[number]->running) {
        return;
    }
    for (const auto peer : linked_with(number)) {
        close_link(number, peer);
    }
    instances_[number]->running = false;
}

std::set<unsigned> fleet_simulation::linked_with(unsigned number) const {
    std::set<unsigned> peers;
    for (const auto& peer : instances_[number]->exchange.linked()) {
        peers.insert(numbers_.at(peer));
    }
    return peers;
}

std::pair<unsigned, unsigned> fleet_simulation::ends_of(unsigned a,
                                                        unsigned b) {
    return std::minmax({a, b});
}

void fleet_simulation::lose_what_is_under_way(unsigned a, unsigned b) {
    ++links_[ends_of(a, b)].number;
}

void fleet_simulation::replace_links(unsigned number) {
    if (!may_act(number)) {
        return;
    }
    for (const auto peer : linked_with(number)) {
        lose_what_is_under_way(number, peer);
        for (const auto& [here, there] :
             {std::make_pair(number, peer), std::make_pair(peer, number)}) {
            const auto name = name_of(there);
            run_on(here, instances_[here]->life_number,
                   [this, here = here, name] {
                       instances_[here]->exchange.link_replaced(name, now_);
                       flush_soon(here);
                   });
        }
    }
}

void fleet_simulation::swallow(unsigned number, duration time) {
    if (!may_act(number)) {
        return;
    }
    for (const auto peer : linked_with(number)) {
        links_[ends_of(number, peer)].swallows_until = now_ + time;
    }
    at(now_ + time, [this, number, life = instances_[number]->life_number] {
        if (instances_[number]->life_number != life ||
            !instances_[number]->running) {
            return;
        }
        for (const auto peer : linked_with(number)) {
            if (links_[ends_of(number, peer)].swallows_until == now_) {
                close_link(number, peer);
            }
        }
    });
}

bool fleet_simulation::may_link(unsigned a, unsigned b) const {
    return a != b && may_act(a) && may_act(b) &&
           apart_.count(a) == apart_.count(b);
}

void fleet_simulation::open_link(unsigned a, unsigned b) {
    if (!may_link(a, b) ||
        instances_[a]->exchange.linked().count(name_of(b)) > 0) {
        return;
    }
    instances_[a]->exchange.link_up(name_of(b), now_);
    instances_[b]->exchange.link_up(name_of(a), now_);
    flush_soon(a);
    flush_soon(b);
}

void fleet_simulation::close_link(unsigned a, unsigned b) {
    lose_what_is_under_way(a, b);
    for (const auto& [here, there] :
         {std::make_pair(a, b), std::make_pair(b, a)}) {
        if (!instances_[here]) {
            continue;
        }
        const auto name = name_of(there);
        run_on(here, instances_[here]->life_number, [this, here = here, name] {
            instances_[here]->exchange.link_down(name, now_);
            flush_soon(here);
        });
    }
}

void fleet_simulation::cut(const std::set<unsigned>& apart) {
    apart_ = apart;
    for (const auto a : apart) {
        if (!instances_[a] || !instances_[a]->running) {
            continue;
        }
        for (const auto peer : linked_with(a)) {
            if (apart.count(peer) == 0) {
                close_link(a, peer);
            }
        }
    }
}

void fleet_simulation::heal() {
    apart_.clear();
}

void fleet_simulation::let_platform_answer(std::function<bool(unsigned)> whom) {
    platform_.answer_only(std::move(whom));
}

void fleet_simulation::register_server(const std::string& name) {
    servers_[name] = server_record(name, platform_.revision() + 1);
    platform_.change_servers();
}

void fleet_simulation::remove_server(const std::string& name) {
    servers_.erase(name);
    platform_.change_servers();
}

void fleet_simulation::publish_configuration() {
    platform_.publish_configuration();
}

std::string fleet_simulation::text_of(std::uint64_t version) const {
    auto text = std::to_string(version);
    std::mt19937_64 bytes(version);
    while (text.size() < shape_.configuration_bytes) {
        text.push_back(static_cast<char>(bytes()));
    }
    return text;
}

void fleet_simulation::take_reading(unsigned number,
                                    const platform_answer& answer) {
    auto& self = *instances_[number];
    if (self.listed_at != answer.revision) {
        std::vector<registry_record> list;
        for (const auto& each : servers_) {
            list.push_back(each.second);
        }
        self.registry.take_list(list, answer.revision, now_);
        self.listed_at = answer.revision;
    }
    if (answer.version > 0) {
        self.configurations.offer({answer.version, text_of(answer.version)});
    }
    self.readers.hear(name_of(number), duration::zero(), now_);
    self.fresh.hear_platform(self.fresh.epoch());
    flush_soon(number);
}

void fleet_simulation::follow_reader_duty(unsigned number) {
    auto& self = *instances_[number];
    const bool read = self.readers.should_read(now_);
    if (read != self.reader->paused()) {
        return;
    }
    if (read) {
        self.reader->resume();
    } else {
        self.reader->pause();
    }
}

void fleet_simulation::tick(unsigned number) {
    auto& self = *instances_[number];
    self.exchange.tick(now_);
    self.registry.tick(now_);
    self.fresh.settle(self.members.present() > 1, now_);
    plan(number);
    follow_reader_duty(number);
    flush(number);
    after(number, std::max(tick_period, self.processor - now_),
          [this, number] { tick(number); });
}

std::set<std::string> fleet_simulation::wanted_links(const instance& of) const {
    std::vector<placed_member> present;
    std::vector<placed_member> with_gone;
    for (const auto& each : of.members.members()) {
        const placed_member placed{each.id.name, each.data_centre, "region"};
        with_gone.push_back(placed);
        if (each.state != member_state::gone) {
            present.push_back(placed);
        }
    }
    return membership::wanted_links(of.members.self().id.name, present,
                                    with_gone, of.central);
}

std::set<std::string> fleet_simulation::central_for(const instance& of) const {
    const auto members = of.members.members().size();
    if (members > full_mesh_limit) {
        return of.central;
    }
    auto mesh = of.wanted;
    mesh.insert(of.members.self().id.name);
    return mesh;
}

void fleet_simulation::plan(unsigned number) {
    auto& self = *instances_[number];
    if (self.members_planned != self.members.version()) {
        self.members_planned = self.members.version();
        const auto members = self.members.members();
        self.readers.take_members(members);
        self.reader->set_share(share_of(platform_reads_per_second,
                                        members.size(), self.readers.place()));
        const auto order = reader_order(members);
        const auto end = std::min(central_count, order.size());
        self.central = {order.begin(),
                        order.begin() + static_cast<std::ptrdiff_t>(end)};
        self.wanted = wanted_links(self);
        self.exchange.plan(self.wanted, central_for(self), now_);
    }
    for (const auto& peer : self.wanted) {
        const auto other = numbers_.at(peer);
        if (self.exchange.linked().count(peer) == 0 &&
            may_link(number, other)) {
            at(now_ + link_opening,
               [this, number, other] { open_link(number, other); });
        }
    }
    dial_seeds(number);
    drop_unwanted(number);
}

void fleet_simulation::dial_seeds(unsigned number) {
    auto& self = *instances_[number];
    const auto& linked = self.exchange.linked();
    const auto members =
        std::count_if(linked.begin(), linked.end(), [&](const auto& peer) {
            return self.members.find(peer) != nullptr;
        });
    const auto seeds = std::min(seed_count, shape_.instances);
    for (unsigned seed = 0; seed < seeds; ++seed) {
        if (members == 0 && may_link(number, seed)) {
            self.seed_links.insert(name_of(seed));
            at(now_ + link_opening,
               [this, number, seed] { open_link(number, seed); });
        } else if (members > 1 && self.seed_links.erase(name_of(seed)) > 0) {
            leave_seed(number, seed);
        }
    }
}

// Unlike other links those with seeds close as soon as others are found.
void fleet_simulation::leave_seed(unsigned number, unsigned seed) {
    if (!is_wanted(number, seed)) {
        close_link(number, seed);
    }
}

bool fleet_simulation::is_wanted(unsigned a, unsigned b) const {
    const auto wants = [this](unsigned one, unsigned other) {
        const auto& of = *instances_[one];
        return of.wanted.count(name_of(other)) > 0 ||
               of.seed_links.count(name_of(other)) > 0;
    };
    return wants(a, b) || wants(b, a);
}

// Closed once neither end has wanted the link for a while.
void fleet_simulation::drop_unwanted(unsigned number) {
    auto& self = *instances_[number];
    const auto linked = self.exchange.linked();
    for (const auto& peer : linked) {
        const auto other = numbers_.at(peer);
        if (is_wanted(number, other)) {
            self.unwanted_since.erase(peer);
            continue;
        }
        const auto since = self.unwanted_since.emplace(peer, now_);
        if (now_ - since.first->second >= unwanted_limit) {
            self.unwanted_since.erase(peer);
            close_link(number, other);
        }
    }
}

void fleet_simulation::flush_soon(unsigned number) {
    auto& self = *instances_[number];
    if (self.flush_planned) {
        return;
    }
    self.flush_planned = true;
    after(number, flush_delay, [this, number] {
        instances_[number]->flush_planned = false;
        flush(number);
    });
}

void fleet_simulation::flush(unsigned number) {
    for (auto& each : instances_[number]->exchange.take_messages(now_)) {
        const auto bytes =
            io::encode_exchange(*each.message, now_).size() + message_overhead;
        traffic_.bytes_by_kind[io::kind_of(*each.message)] += bytes;
        send(number, numbers_.at(each.peer), each.message, bytes);
    }
}

void fleet_simulation::send(unsigned from, unsigned to,
                            std::shared_ptr<const exchange_message> body,
                            std::size_t bytes) {
    auto& sender = *instances_[from];
    if (!instances_[to] || sender.exchange.linked().count(name_of(to)) == 0) {
        return;
    }
    ++traffic_.messages;
    traffic_.bytes += bytes;
    sent_by_[from] += bytes;
    traffic_.most_bytes_of_one =
        std::max(traffic_.most_bytes_of_one, sent_by_[from]);
    const bool leaves = centre_of(from) != centre_of(to);
    traffic_.bytes_between_data_centres += leaves ? bytes : 0;

    sender.processor =
        std::max(sender.processor, now_) + processing_time(sender, bytes);
    sender.sending =
        std::max(sender.sending, sender.processor) + link_time(sender, bytes);
    const auto& link = links_[ends_of(from, to)];
    if (now_ < link.swallows_until) {
        return;
    }
    const auto way = leaves ? between_data_centres : within_data_centre;
    const message sent{from,
                       to,
                       sender.life_number,
                       instances_[to]->life_number,
                       link.number,
                       std::move(body),
                       bytes};
    at(sender.sending + way, [this, sent] { arrive(sent); });
}

duration fleet_simulation::processing_time(const instance& of,
                                           std::size_t bytes) {
    const auto whole = cost_of_message + cost_of_byte * bytes;
    return std::chrono::duration_cast<duration>(
        whole * 1000 / of.members.self().capacity.cpu_permille);
}

duration fleet_simulation::link_time(const instance& of, std::size_t bytes) {
    return std::chrono::duration_cast<duration>(
        std::chrono::nanoseconds(bytes * 8000) /
        of.members.self().capacity.link_mbps);
}

// Bytes come in one after the other, and are read when the processor is free.
void fleet_simulation::arrive(const message& sent) {
    auto& receiver = *instances_[sent.to];
    receiver.receiving =
        std::max(receiver.receiving, now_) + link_time(receiver, sent.bytes);
    at(receiver.receiving, [this, sent] {
        auto& reader = *instances_[sent.to];
        reader.processor = std::max(reader.processor, now_) +
                           processing_time(reader, sent.bytes);
        at(reader.processor, [this, sent] {
            run_on(sent.to, sent.receiving_life,
                   [this, sent] { deliver(sent); });
        });
    });
}

void fleet_simulation::deliver(const message& sent) {
    auto& end = *instances_[sent.to];
    const auto& peer = name_of(sent.from);
    const bool same_link =
        links_[ends_of(sent.from, sent.to)].number == sent.link &&
        instances_[sent.from]->life_number == sent.sending_life &&
        end.exchange.linked().count(peer) > 0;
    if (same_link) {
        end.exchange.receive(peer, *sent.body, now_);
        flush_soon(sent.to);
    }
}

void fleet_simulation::run_for(duration time) {
    run_until([] { return false; }, time);
}

duration fleet_simulation::run_until(const std::function<bool()>& holds,
                                     duration limit) {
    constexpr duration look = std::chrono::milliseconds(20);
    const auto began = now_;
    auto next_look = now_ + look;
    while (now_ - began < limit) {
        while (!events_.empty() && events_.top().at <= next_look) {
            auto next = events_.top();
            events_.pop();
            now_ = std::max(now_, next.at);
            next.run();
        }
        now_ = next_look;
        next_look += look;
        if (holds()) {
            break;
        }
    }
    return now_ - began;
}

unsigned fleet_simulation::running() const {
    return static_cast<unsigned>(
        std::count_if(instances_.begin(), instances_.end(),
                      [](const auto& each) { return each && each->running; }));
}

unsigned fleet_simulation::with_whole_registry() const {
    return static_cast<unsigned>(std::count_if(
        instances_.begin(), instances_.end(), [this](const auto& each) {
            return each && each->running &&
                   each->registry.records() == servers_;
        }));
}

std::uint64_t fleet_simulation::oldest_configuration() const {
    auto oldest = platform_.version();
    for (const auto& each : instances_) {
        if (each && each->running) {
            oldest = std::min(oldest, each->configurations.revision());
        }
    }
    return oldest;
}

instance_standing fleet_simulation::standing(unsigned number) const {
    instance_standing seen;
    if (!instances_[number] || !instances_[number]->running) {
        return seen;
    }
    const auto& self = *instances_[number];
    seen.running = true;
    seen.frozen = self.frozen;
    seen.life = self.life_number;
    seen.revision = self.configurations.revision();
    seen.named = self.exchange.files().named();
    seen.introduced = self.exchange.introduced();
    seen.reads = self.readers.reads();
    return seen;
}

std::set<unsigned> fleet_simulation::reached_by(unsigned number) const {
    std::set<unsigned> reached;
    std::vector<unsigned> next{number};
    while (!next.empty()) {
        const auto each = next.back();
        next.pop_back();
        if (may_act(each) && reached.insert(each).second) {
            for (const auto peer : linked_with(each)) {
                const auto link = links_.find(ends_of(each, peer));
                if (link == links_.end() ||
                    link->second.swallows_until <= now_) {
                    next.push_back(peer);
                }
            }
        }
    }
    return reached;
}

unsigned fleet_simulation::with_all_members() const {
    const auto whole = [this](const auto& each) {
        if (!each || !each->running) {
            return false;
        }
        const auto members = each->members.members();
        const auto alive = static_cast<unsigned>(
            std::count_if(members.begin(), members.end(), [](const auto& one) {
                return one.state == member_state::alive;
            }));
        return alive == running() &&
               std::all_of(
                   members.begin(), members.end(), [&](const auto& one) {
                       const auto& real = instances_[numbers_.at(one.id.name)];
                       return one.state != member_state::alive ||
                              (real->running &&
                               real->members.self().id == one.id);
                   });
    };
    return static_cast<unsigned>(
        std::count_if(instances_.begin(), instances_.end(), whole));
}

unsigned fleet_simulation::that_know(const std::string& server) const {
    return static_cast<unsigned>(std::count_if(
        instances_.begin(), instances_.end(), [&server](const auto& each) {
            return each && each->running &&
                   each->registry.records().count(server) > 0;
        }));
}

void fleet_simulation::forget_traffic() {
    traffic_ = {};
    std::fill(sent_by_.begin(), sent_by_.end(), 0);
}

} // namespace waxwingvale
