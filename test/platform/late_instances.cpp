#include "platform/late_instances.hpp"

#include <algorithm>
#include <fstream>
#include <sched.h>
#include <stdexcept>
#include <utility>

#include "platform/wire_names.hpp"
#include "standin/http_request_once.hpp"
#include <waxwingvale/decision/ownership.hpp>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* host_name = "a.example";
constexpr unsigned ok = 200;
constexpr duration booking_patience = 500ms; // more than a read has
// Longer than any deadline: what is late is an answer all the same.
constexpr duration caller_patience = 5s;
constexpr double large_share = 0.5; // of a processor
constexpr double small_share = 0.1;
constexpr duration directory_period = 1s;
constexpr std::uint64_t routes_kept = 40; // of the changes
// Routes that are still to be moved are there before.
constexpr std::uint64_t routes_ahead = 4;
const std::vector<std::string> zones = {"north", "middle", "south"};

std::string first_path(const std::string& service) {
    return "/first-" + service + "/";
}

std::string added_path(std::uint64_t change) {
    return "/n" + std::to_string(change) + "/";
}

std::string moved_path(std::uint64_t change) {
    return "/m" + std::to_string(change) + "/";
}

unsigned sum_of_weights(const std::vector<played_service>& services) {
    unsigned sum = 0;
    for (const auto& each : services) {
        sum += each.weight;
    }
    return sum;
}

std::string attempt_name(std::uint64_t number) {
    return "attempt-" + std::to_string(number);
}

json route_to(const std::string& prefix, const char* kind, duration timeout,
              const std::string& service) {
    return {{"Name", "to-" + prefix.substr(1, prefix.size() - 2)},
            {"Host", host_name},
            {"PathPrefix", prefix},
            {"Kind", kind},
            {"Timeout", timeout / 1ms},
            {"TargetLatency", 500},
            {"MaxAttempts", 2},
            {"Service", service}};
}

void add_route(json& routes, json route) {
    const std::string name = route["Name"];
    routes[name] = std::move(route);
}

} // namespace

std::vector<played_service> quick_services(std::size_t servers) {
    constexpr std::size_t part_of_second = 4;
    played_service view;
    view.name = "view";
    view.servers = servers - servers / part_of_second;
    view.work = 30ms;
    played_service desk = view;
    desk.name = "desk";
    desk.servers = servers / part_of_second;
    return {view, desk};
}

std::vector<played_service> slow_services() {
    played_service lookup;
    lookup.name = "lookup";
    lookup.servers = 92;
    lookup.slots = 2;
    lookup.work = 220ms;
    lookup.deadline = 1500ms;
    lookup.weight = 2;
    played_service payment = lookup;
    payment.name = "payment";
    payment.servers = 64;
    payment.work = 290ms;
    payment.deadline = 2500ms;
    payment.weight = 1;
    played_service history = lookup;
    history.name = "history";
    history.servers = 108;
    history.work = 550ms;
    history.deadline = 4000ms;
    return {lookup, payment, history};
}

late_instances::late_instances(const late_instances_options& options)
    : options_(options),
      random_(options.seed),
      slices_(timers, options.run, options.stop) {
    for (std::size_t of = 0; of < options_.services.size(); ++of) {
        const auto& service = options_.services[of];
        for (std::size_t each = 0; each < service.servers; ++each) {
            servers_.push_back(
                {of, std::make_unique<working_server>(
                         loop, timers, "i-" + std::to_string(servers_.size()),
                         service.work, service.slots)});
            servers_.back().server->on_run(
                [this, of](const std::string& attempt) {
                    note_run(of, attempt);
                });
        }
    }
    if (options.relays) {
        std::vector<std::string> targets = {"--to=" +
                                            std::to_string(store.port())};
        for (const auto& each : servers_) {
            targets.push_back("--to=" + std::to_string(each.server->port()));
        }
        relay_ =
            std::make_unique<standin::child_process>("standin-relay", targets);
        relay_ready_ = relay_->read_ready();
    }
    store.set_page_size(options_.store_page);
    write_next();
    list_servers();
    start();
}

late_instances::~late_instances() {
    release();
    for (std::size_t each = 0; each < options_.instances; ++each) {
        instances_->process(each).kill();
        keep_log(each);
    }
}

std::uint16_t late_instances::relayed(std::size_t route,
                                      std::uint16_t direct) const {
    return options_.relays ? relay_ready_.at("routes")
                                 .at(route)
                                 .at("port")
                                 .get<std::uint16_t>()
                           : direct;
}

void late_instances::list_servers() {
    for (std::size_t each = 0; each < servers_.size(); ++each) {
        const auto& server = *servers_[each].server;
        const auto& service = options_.services[servers_[each].service];
        store.put("servers/" + server.id(),
                  server.entry(service.name, zones[each % zones.size()],
                               relayed(each + 1, server.port())));
    }
}

void late_instances::start() {
    const json budgets = {{"owners", options_.owners},
                          {"retries", 0.2},
                          {"hedges", 0.1},
                          {"repeats", 0.2},
                          {"repeat_window_ms", 10000},
                          {"repeat_extra", 222},
                          {"probes_per_second", 20}};
    instances_ = std::make_unique<instance_group>(
        options_.instances, zones, relayed(0, store.port()), budgets);
    set_sizes();
    start_all();
    rest(settle_time);
}

void late_instances::set_sizes() {
    if (options_.large == 0) {
        return;
    }
    for (const auto each : all()) {
        const bool large = each / zones.size() < options_.large;
        instances_->set_cpu_share(each, large ? large_share : small_share);
    }
}

void late_instances::ask_directory() {
    const auto number = std::uniform_int_distribution<std::size_t>(
        0, options_.instances - 1)(random_);
    const auto& zone = zones[number % zones.size()];
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = instances_->directory_port(number);
    call.target = std::string(wire::resolve_path) + "?Name=" + host_name +
                  "&Region=region-" + zone + "&Zone=" + zone;
    call.timeout = directory_period;
    ++open_;
    client_.send(std::move(call), [this](const io::http_call_result& result) {
        --open_;
        follow_directory(result);
    });
}

void late_instances::follow_directory(const io::http_call_result& answer) {
    if (!answer.response || answer.response.value().status != ok) {
        return;
    }
    named_.clear();
    const auto told = json::parse(answer.response.value().body);
    for (const std::string address : told.at("Addresses")) {
        const auto port = std::stoul(address.substr(address.find(':') + 1));
        for (const auto each : all()) {
            if (instances_->caller_port(each) == port) {
                named_.push_back(each);
            }
        }
    }
}

std::size_t late_instances::named_or(std::size_t number) {
    if (named_.empty()) {
        return number;
    }
    return named_[std::uniform_int_distribution<std::size_t>(
        0, named_.size() - 1)(random_)];
}

void late_instances::start_all() {
    instances_->start_while([this] { rest(1ms); });
    for (const auto each : all()) {
        limit_processors(each);
    }
}

// As a machine that is too small for all of them would.
void late_instances::limit_processors(std::size_t number) {
    if (options_.processors == 0) {
        return;
    }
    cpu_set_t allowed;
    CPU_ZERO(&allowed);
    for (unsigned each = 0; each < options_.processors; ++each) {
        CPU_SET(each, &allowed);
    }
    const auto process = instances_->process(number).id();
    if (::sched_setaffinity(process, sizeof allowed, &allowed) != 0) {
        throw std::runtime_error("sched_setaffinity failed");
    }
}

late_instances::numbers late_instances::all() const {
    return others({});
}

late_instances::numbers late_instances::half() const {
    numbers chosen;
    for (std::size_t each = 1; each < options_.instances; each += 2) {
        chosen.insert(each);
    }
    return chosen;
}

late_instances::numbers late_instances::owners_and_standbys() const {
    std::vector<member> members;
    for (const auto each : all()) {
        member made;
        made.id = {"node-" + std::to_string(each), 1};
        made.data_centre = zones[each % zones.size()];
        members.push_back(made);
    }
    numbers chosen;
    for (const auto& played : options_.services) {
        service shared;
        shared.name = played.name;
        shared.owners = static_cast<unsigned>(options_.owners);
        const auto owned = decision::compute_ownership(shared, members);
        for (const auto* list : {&owned.owners, &owned.standbys}) {
            for (const auto& each : *list) {
                chosen.insert(std::stoul(each.member.name.substr(5)));
            }
        }
    }
    return chosen;
}

late_instances::numbers late_instances::others(const numbers& than) const {
    numbers left;
    for (std::size_t each = 0; each < options_.instances; ++each) {
        if (than.count(each) == 0) {
            left.insert(each);
        }
    }
    return left;
}

void late_instances::hold(const numbers& which) {
    const auto period = options_.run + options_.stop;
    std::uniform_int_distribution<duration::rep> delay(0, period.count());
    for (const auto each : which) {
        slices_.hold(each, instances_->process(each).id(),
                     duration(delay(random_)));
    }
}

void late_instances::kill_all() {
    numbers held;
    for (const auto each : all()) {
        if (slices_.holds(each)) {
            held.insert(each);
        }
        slices_.release(each);
        instances_->process(each).kill();
    }
    for (const auto each : all()) {
        keep_log(each);
    }
    start_all();
    hold(held);
}

void late_instances::kill_one(std::size_t number) {
    const bool held = slices_.holds(number);
    slices_.release(number);
    instances_->process(number).kill();
    keep_log(number);
    instances_->start_again(number);
    limit_processors(number);
    if (held) {
        hold({number});
    }
}

void late_instances::poor_store(double late, double lost) {
    store.set_fate([this, late, lost] {
        std::uniform_real_distribution<double> any(0, 1);
        const auto drawn = any(random_);
        if (drawn < lost) {
            return answer_fate::lost;
        }
        return drawn < lost + late ? answer_fate::late : answer_fate::prompt;
    });
}

void late_instances::set_relay(const std::string& mode) const {
    standin::http_post(relay_ready_.at("port").get<std::uint16_t>(),
                       "/control/route?mode=" + mode);
}

void late_instances::keep_log(std::size_t number) {
    const auto written = instances_->process(number).read_rest();
    if (options_.log_folder.empty()) {
        return;
    }
    std::ofstream file(options_.log_folder + "/node-" + std::to_string(number) +
                           ".log",
                       std::ios::app);
    file << written;
}

std::size_t late_instances::service_of(std::uint64_t change) const {
    std::uint64_t left = change % sum_of_weights(options_.services);
    std::size_t service = 0;
    while (left >= options_.services[service].weight) {
        left -= options_.services[service].weight;
        ++service;
    }
    return service;
}

std::size_t late_instances::next_service(std::size_t service) const {
    return (service + 1) % options_.services.size();
}

std::string late_instances::operator_text() const {
    json routes;
    json services;
    for (const auto& each : options_.services) {
        services[each.name] = {{"Name", each.name}, {"HealthPath", "/healthz"}};
        add_route(routes, route_to(first_path(each.name), "idempotent",
                                   each.deadline, each.name));
    }
    const auto& first = options_.services.front();
    add_route(routes, route_to("/book/", "non_idempotent",
                               first.deadline + booking_patience, first.name));
    const auto oldest = changes_ > routes_kept ? changes_ - routes_kept : 1;
    for (auto each = oldest; each <= changes_ + routes_ahead; ++each) {
        const auto former = service_of(each);
        const auto& of_added = options_.services[former];
        const bool is_made = each <= changes_;
        const auto& of_moved =
            options_.services[is_made ? next_service(former) : former];
        add_route(routes, route_to(moved_path(each), "idempotent",
                                   of_moved.deadline, of_moved.name));
        if (is_made) {
            add_route(routes, route_to(added_path(each), "idempotent",
                                       of_added.deadline, of_added.name));
        }
    }
    return json{{"Version", 10 + 2 * changes_},
                {"Routes", routes},
                {"Services", services},
                {"Limits", {{"MaxHeaderBytes", 16384}}}}
        .dump();
}

void late_instances::write_next() {
    ++changes_;
    store.write(operator_text());
    confirmed_[changes_] = timers.now();
}

std::vector<std::uint64_t> late_instances::due_changes() const {
    const auto latest = timers.now() - in_force_within;
    std::vector<std::uint64_t> due;
    for (const auto& [change, confirmed] : confirmed_) {
        if (confirmed <= latest && change + routes_kept > changes_ + 1) {
            due.push_back(change);
        }
    }
    return due;
}

std::optional<std::uint64_t> late_instances::any_due_change() {
    auto due = due_changes();
    const auto service = any_service();
    const auto of_others = [&](std::uint64_t change) {
        return service_of(change) != service;
    };
    due.erase(std::remove_if(due.begin(), due.end(), of_others), due.end());
    if (due.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, due.size() - 1);
    const bool newest = std::bernoulli_distribution(0.5)(random_);
    return newest ? due.back() : due[any(random_)];
}

std::size_t late_instances::any_service() {
    std::vector<unsigned> weights;
    for (const auto& each : options_.services) {
        weights.push_back(each.weight);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(),
                                                   weights.end())(random_);
}

std::uint64_t late_instances::send(std::size_t to, const io::http_call& what,
                                   duration deadline, answer_counts& counts,
                                   const known_handler& ended) {
    const auto number = ++sent_;
    auto call = what;
    call.host = "127.0.0.1";
    call.port = instances_->caller_port(to);
    call.headers = {
        {"Host", host_name},
        {"Waxwingvale-Attempt-Id", attempt_name(number)},
        {"Waxwingvale-Request-Deadline", std::to_string(deadline / 1ms)}};
    call.timeout = caller_patience;
    ++open_;
    client_.send(std::move(call),
                 [this, &counts, deadline, ended,
                  sent = timers.now()](const io::http_call_result& result) {
                     --open_;
                     const auto not_known = counts.not_known;
                     counts.add(result, timers.now() - sent <= deadline);
                     if (ended) {
                         ended(counts.not_known == not_known);
                     }
                 });
    return number;
}

void late_instances::send_booking(std::size_t to, caller_results& results) {
    io::http_call call;
    call.method = "POST";
    call.target = "/book/x";
    send(to, call, options_.services.front().deadline + booking_patience,
         results.bookings);
}

void late_instances::send_first(std::size_t to, caller_results& results) {
    const auto& service = options_.services[any_service()];
    io::http_call call;
    call.target = first_path(service.name) + "x";
    send(to, call, service.deadline, results.first);
}

void late_instances::send_added(std::size_t to, caller_results& results,
                                std::uint64_t change) {
    io::http_call call;
    call.target = added_path(change) + "x";
    const auto age = timers.now() - confirmed_.at(change);
    const auto& service = options_.services[service_of(change)];
    send(to, call, options_.changed_deadline.value_or(service.deadline),
         results.added, [&results, age](bool known) {
             results.oldest_route = known ? results.oldest_route
                                          : std::max(results.oldest_route, age);
         });
}

void late_instances::send_moved(std::size_t to, caller_results& results,
                                std::uint64_t change) {
    io::http_call call;
    call.target = moved_path(change) + "x";
    const auto former = service_of(change);
    const auto& service = options_.services[next_service(former)];
    const auto number =
        send(to, call, options_.changed_deadline.value_or(service.deadline),
             results.moved);
    moved_[attempt_name(number)] = {former, &results};
}

void late_instances::note_run(std::size_t service, const std::string& attempt) {
    const auto found = moved_.find(attempt);
    if (found != moved_.end() && found->second.former == service) {
        ++found->second.results->run_by_former;
    }
}

void late_instances::send_next(results_by_instance& to) {
    const auto number = next_++ % options_.instances;
    const auto change = any_due_change();
    // Half on routes that were changed, as many added as moved ones.
    switch (std::uniform_int_distribution<int>(0, change ? 3 : 1)(random_)) {
    case 0: {
        const auto named = named_or(number);
        send_booking(named, to[named]);
        break;
    }
    case 1: {
        const auto named = named_or(number);
        send_first(named, to[named]);
        break;
    }
    case 2:
        send_added(number, to[number], *change);
        break;
    default:
        send_moved(number, to[number], *change);
    }
}

void late_instances::rest(duration time) {
    const auto beat = timers.every(5ms, [](time_point) {});
    const auto until = timers.now() + time;
    while (timers.now() < until) {
        loop.run_once(true);
    }
}

late_instances::results_by_instance late_instances::play(duration time) {
    return play(time, true);
}

late_instances::results_by_instance late_instances::play_steady(duration time) {
    return play(time, false);
}

late_instances::results_by_instance late_instances::play(duration time,
                                                         bool changing) {
    results_by_instance counted;
    for (const auto each : all()) {
        counted[each]; // moved requests refer to them
    }
    {
        kernel::timer_service::subscription changes;
        if (changing) {
            changes = timers.every(options_.change_period,
                                   [this](time_point) { write_next(); });
        }
        kernel::timer_service::subscription asking;
        if (options_.large > 0) {
            asking = timers.every(directory_period,
                                  [this](time_point) { ask_directory(); });
        }
        const auto sending =
            timers.every(duration(1s) / options_.requests_per_second,
                         [&](time_point) { send_next(counted); });
        rest(time);
    }
    while (open_ > 0) {
        rest(10ms);
    }
    moved_.clear();
    return counted;
}

caller_results late_instances::sum(const results_by_instance& of,
                                   const numbers& which) {
    caller_results sum;
    for (const auto each : which) {
        const auto found = of.find(each);
        if (found != of.end()) {
            sum.add(found->second);
        }
    }
    return sum;
}

} // namespace waxwingvale::platform
