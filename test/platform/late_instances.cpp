#include "platform/late_instances.hpp"

#include <algorithm>
#include <fstream>
#include <utility>

#include "standin/http_request_once.hpp"
#include "standin/unknown_route.hpp"
#include <waxwingvale/decision/ownership.hpp>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* host_name = "a.example";
constexpr const char* service_name = "view";
constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;
constexpr duration read_deadline = 2s;
constexpr duration booking_deadline = 2500ms;
// Longer than any deadline: what is late is an answer all the same.
constexpr duration caller_patience = 3s;
constexpr std::uint64_t routes_kept = 40; // of the changes
// Of the requests to an instance.
constexpr std::uint64_t requests_per_booking = 4;
const std::vector<std::string> zones = {"north", "middle", "south"};

std::string route_path(std::uint64_t change) {
    return "/n" + std::to_string(change) + "/";
}

json route_to(const std::string& prefix, const char* kind, duration timeout) {
    return {{"Name", "to-" + prefix.substr(1, prefix.size() - 2)},
            {"Host", host_name},
            {"PathPrefix", prefix},
            {"Kind", kind},
            {"Timeout", timeout / 1ms},
            {"TargetLatency", 500},
            {"MaxAttempts", 2},
            {"Service", service_name}};
}

double share_of(unsigned part, unsigned all) {
    return all == 0 ? 1.0 : static_cast<double>(part) / all;
}

unsigned judged_status(const io::http_response& answer) {
    return standin::knows_no_route(answer) ? not_found : answer.status;
}

} // namespace

unsigned caller_results::reads() const {
    return served + late + refused + unanswered + other + late_routes;
}

double caller_results::served_reads() const {
    return share_of(served, reads());
}

double caller_results::served_share() const {
    return share_of(served + bookings_served,
                    reads() + bookings_served + bookings_refused);
}

void caller_results::add(const caller_results& more) {
    served += more.served;
    late += more.late;
    refused += more.refused;
    unanswered += more.unanswered;
    other += more.other;
    bookings_served += more.bookings_served;
    bookings_refused += more.bookings_refused;
    late_routes += more.late_routes;
    oldest_route = std::max(oldest_route, more.oldest_route);
}

std::string to_string(const caller_results& results) {
    return "served " + std::to_string(results.served) + ", late " +
           std::to_string(results.late) + ", 503 " +
           std::to_string(results.refused) + ", unanswered " +
           std::to_string(results.unanswered) + ", other " +
           std::to_string(results.other) + "; bookings served " +
           std::to_string(results.bookings_served) + ", not " +
           std::to_string(results.bookings_refused) + "; late routes " +
           std::to_string(results.late_routes) + ", oldest " +
           std::to_string(results.oldest_route / 1ms) + " ms";
}

late_instances::late_instances(const late_instances_options& options)
    : options_(options),
      random_(options.seed),
      slices_(timers, options.run, options.stop) {
    for (std::size_t each = 0; each < options.servers; ++each) {
        servers_.push_back(std::make_unique<working_server>(
            loop, timers, "i-" + std::to_string(each), options.work));
    }
    if (options.relays) {
        std::vector<std::string> targets = {"--to=" +
                                            std::to_string(store.port())};
        for (const auto& each : servers_) {
            targets.push_back("--to=" + std::to_string(each->port()));
        }
        relay_ =
            std::make_unique<standin::child_process>("standin-relay", targets);
        relay_ready_ = relay_->read_ready();
    }
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
        const auto& server = *servers_[each];
        store.put("servers/" + server.id(),
                  server.entry(service_name, zones[each % zones.size()],
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
    instances_->start_while([this] { rest(1ms); });
    rest(settle_time);
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
    service shared;
    shared.name = service_name;
    shared.owners = static_cast<unsigned>(options_.owners);
    const auto owned = decision::compute_ownership(shared, members);
    numbers chosen;
    for (const auto* list : {&owned.owners, &owned.standbys}) {
        for (const auto& each : *list) {
            chosen.insert(std::stoul(each.member.name.substr(5)));
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
    instances_->start_while([this] { rest(1ms); });
    hold(held);
}

void late_instances::kill_one(std::size_t number) {
    const bool held = slices_.holds(number);
    slices_.release(number);
    instances_->process(number).kill();
    keep_log(number);
    instances_->start_again(number);
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

std::string late_instances::operator_text() const {
    json routes;
    routes["stays"] = route_to("/stays/", "idempotent", read_deadline);
    routes["book"] = route_to("/book/", "non_idempotent", booking_deadline);
    const auto oldest = changes_ > routes_kept ? changes_ - routes_kept : 1;
    for (auto each = oldest; each <= changes_; ++each) {
        auto added = route_to(route_path(each), "idempotent", read_deadline);
        const std::string name = added["Name"];
        routes[name] = std::move(added);
    }
    return json{{"Version", 10 + 2 * changes_},
                {"Routes", routes},
                {"Services",
                 {{service_name,
                   {{"Name", service_name}, {"HealthPath", "/healthz"}}}}},
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
    const auto due = due_changes();
    if (due.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, due.size() - 1);
    return turns_ % 4 < 2 ? due.back() : due[any(random_)];
}

void late_instances::send(std::size_t to, const std::string& method,
                          const std::string& target, duration deadline,
                          const answer_handler& ended) {
    io::http_call call;
    call.host = "127.0.0.1";
    call.port = instances_->caller_port(to);
    call.method = method;
    call.target = target;
    call.headers = {
        {"Host", host_name},
        {"Waxwingvale-Attempt-Id", "attempt-" + std::to_string(++sent_)},
        {"Waxwingvale-Request-Deadline", std::to_string(deadline / 1ms)}};
    call.timeout = caller_patience;
    ++open_;
    client_.send(std::move(call), [this, ended, sent = timers.now()](
                                      const io::http_call_result& result) {
        --open_;
        ended(result.response ? judged_status(result.response.value()) : 0,
              timers.now() - sent);
    });
}

void late_instances::send_booking(std::size_t to, caller_results& results) {
    send(to, "POST", "/book/x", booking_deadline,
         [&results](unsigned status, duration took) {
             const bool served = status == ok && took <= booking_deadline;
             ++(served ? results.bookings_served : results.bookings_refused);
         });
}

void late_instances::send_read(std::size_t to, caller_results& results) {
    const auto change = turns_ % 2 == 0 ? any_due_change() : std::nullopt;
    const auto target = change ? route_path(*change) + "x" : "/stays/x";
    const auto age = change ? timers.now() - confirmed_.at(*change) : 0ms;
    send(to, "GET", target, read_deadline,
         [&results, age](unsigned status, duration took) {
             switch (status) {
             case ok:
                 ++(took <= read_deadline ? results.served : results.late);
                 break;
             case unavailable:
                 ++results.refused;
                 break;
             case not_found:
                 ++results.late_routes;
                 results.oldest_route = std::max(results.oldest_route, age);
                 break;
             case 0:
                 ++results.unanswered;
                 break;
             default:
                 ++results.other;
             }
         });
}

void late_instances::send_next(std::map<std::size_t, caller_results>& to) {
    const auto number = next_++ % options_.instances;
    turns_ += number == 0 ? 1 : 0;
    if ((turns_ + number) % requests_per_booking == 0) {
        send_booking(number, to[number]);
    } else {
        send_read(number, to[number]);
    }
}

void late_instances::rest(duration time) {
    const auto beat = timers.every(5ms, [](time_point) {});
    const auto until = timers.now() + time;
    while (timers.now() < until) {
        loop.run_once(true);
    }
}

std::map<std::size_t, caller_results> late_instances::play(duration time) {
    std::map<std::size_t, caller_results> results;
    {
        const auto changing = timers.every(
            options_.change_period, [this](time_point) { write_next(); });
        const auto sending =
            timers.every(duration(1s) / options_.requests_per_second,
                         [&](time_point) { send_next(results); });
        rest(time);
    }
    while (open_ > 0) {
        rest(10ms);
    }
    return results;
}

caller_results
late_instances::sum(const std::map<std::size_t, caller_results>& of,
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
