#include "standin/fleet/measurements.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

#include "standin/http_request_once.hpp"

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

constexpr duration second = std::chrono::seconds(1);

control_fleet_options fleet_options(const measurement_options& options) {
    control_fleet_options fleet;
    fleet.instances = options.instances;
    fleet.data_centres = {"sea", "pdx", "spk", "boi"};
    if (options.platform_for > 0) {
        fleet.reaches_platform = [few = options.platform_for](unsigned each) {
            return each < few;
        };
    }
    return fleet;
}

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

json summary(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    const auto at = [&](double fraction) {
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(std::lround(last * fraction))];
    };
    return {{"samples", values.size()},
            {"p50_ms", at(0.5)},
            {"p99_ms", at(0.99)},
            {"max_ms", values.back()}};
}

double cpu_seconds(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::vector<std::string> words;
    for (std::string word; fields >> word;) {
        words.push_back(word);
    }
    // utime and stime are fields 14 and 15; the first here is field 3.
    const double ticks = std::stod(words.at(11)) + std::stod(words.at(12));
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double memory_mb(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

void require(bool held, const char* what) {
    if (!held) {
        throw std::runtime_error(what);
    }
}

} // namespace

measurements::measurements(measurement_options options)
    : options_(options), fleet_(fleet_options(options)) {
    settle();
}

void measurements::settle() {
    fleet_.start_all();
    fleet_.publish("instances", fleet_.instances_value());
    publish_next();
    const auto count = options_.instances;
    const bool agreed = fleet_.run_until_all([&](const view& seen) {
        const auto alive = std::count_if(
            seen.members.begin(), seen.members.end(),
            [](const auto& each) { return each.state == member_state::alive; });
        return seen.fresh && seen.published.revision == revision_ &&
               static_cast<unsigned>(alive) == count;
    });
    require(agreed, "the instances did not find each other");
    // Seeds are let go again, and rings closed.
    fleet_.run_for(8 * second);
}

void measurements::publish_next() {
    ++revision_;
    fleet_.publish("configuration",
                   fleet_configuration(options_.backend_servers,
                                       "change-" + std::to_string(revision_)));
}

json measurements::configuration() {
    std::vector<double> times;
    for (unsigned round = 0; round < options_.rounds; ++round) {
        const auto published = fleet_.now();
        publish_next();
        const bool agreed = fleet_.run_until_all([&](const view& seen) {
            return seen.published.revision == revision_;
        });
        require(agreed, "a configuration did not get everywhere");
        for (unsigned each = 0; each < options_.instances; ++each) {
            times.push_back(milliseconds(fleet_.heard(each) - published));
        }
        fleet_.run_for(second / 2);
    }
    auto result = summary(std::move(times));
    result["measured"] = "configuration in force";
    result["instances"] = options_.instances;
    result["reach_platform"] =
        options_.platform_for > 0 ? options_.platform_for : options_.instances;
    return result;
}

void measurements::report_leaving(unsigned instance,
                                  const std::string& server) {
    fleet_.tell(instance,
                {server, 1, backend_state::leaving, belief_source::traffic,
                 fleet_.name_of(instance), fleet_.now()});
}

json measurements::drain() {
    std::vector<double> times;
    for (unsigned round = 0; round < options_.rounds; ++round) {
        const auto server = "drained-" + std::to_string(++drained_);
        const auto reported = fleet_.now();
        report_leaving(round % options_.instances, server);
        const bool agreed = fleet_.run_until_all([&](const view& seen) {
            return std::any_of(seen.beliefs.begin(), seen.beliefs.end(),
                               [&](const auto& each) {
                                   return each.backend_server == server;
                               });
        });
        require(agreed, "a drain did not get everywhere");
        times.push_back(milliseconds(fleet_.now() - reported));
        fleet_.run_for(second / 10);
    }
    auto result = summary(std::move(times));
    result["measured"] = "drain word at the last instance";
    result["instances"] = options_.instances;
    return result;
}

measurements::spent measurements::total() {
    spent sum;
    for (unsigned each = 0; each < options_.instances; ++each) {
        const auto metrics =
            body_of(http_get(fleet_.admin_port(each), "/metrics"));
        const auto value = [&](const char* name) {
            return metric_in(metrics, name).value_or(0);
        };
        const auto& watching = fleet_.observer_counters(each);
        sum.peer_bytes +=
            value("waxwing_link_bytes_in_total") +
            value("waxwing_link_bytes_out_total") -
            static_cast<double>(watching.bytes_in + watching.bytes_out);
        sum.peer_messages +=
            value("waxwing_link_messages_in_total") +
            value("waxwing_link_messages_out_total") -
            static_cast<double>(watching.messages_in + watching.messages_out);
        sum.platform_reads += value("waxwing_platform_reads_total");
        sum.cpu_seconds += cpu_seconds(fleet_.process(each).id());
    }
    return sum;
}

json measurements::part(const spent& before, double seconds, double events) {
    const auto after = total();
    const double count = options_.instances;
    const double per_node = 1 / (count * seconds);
    json result = {
        {"seconds", seconds},
        {"bytes_per_second", (after.peer_bytes - before.peer_bytes) * per_node},
        {"messages_per_second",
         (after.peer_messages - before.peer_messages) * per_node},
        {"cpu_percent",
         (after.cpu_seconds - before.cpu_seconds) * per_node * 100},
        {"platform_reads_per_second",
         (after.platform_reads - before.platform_reads) * per_node}};
    if (events > 0) {
        result["events"] = events;
        result["bytes_per_event"] =
            (after.peer_bytes - before.peer_bytes) / (count * events);
    }
    return result;
}

double measurements::largest_memory_mb() {
    double largest = 0;
    for (unsigned each = 0; each < options_.instances; ++each) {
        largest = std::max(largest, memory_mb(fleet_.process(each).id()));
    }
    return largest;
}

json measurements::cost() {
    constexpr unsigned beliefs_per_second = 10;
    const double seconds = options_.rounds;
    json result = {{"measured", "cost of one entry instance"},
                   {"instances", options_.instances},
                   {"backend_servers", options_.backend_servers}};

    auto before = total();
    fleet_.run_for(options_.rounds * second);
    result["idle"] = part(before, seconds, 0);

    before = total();
    unsigned beliefs = 0;
    {
        const auto reporting =
            fleet_.timers().every(second / beliefs_per_second, [&](time_point) {
                report_leaving(beliefs++ % options_.instances,
                               "moved-" + std::to_string(++drained_));
            });
        fleet_.run_for(options_.rounds * second);
    }
    result["beliefs"] = part(before, seconds, beliefs);

    before = total();
    unsigned files = 0;
    {
        const auto publishing = fleet_.timers().every(second, [&](time_point) {
            publish_next();
            ++files;
        });
        fleet_.run_for(options_.rounds * second);
    }
    result["configurations"] = part(before, seconds, files);
    result["memory_mb"] = largest_memory_mb();
    return result;
}

} // namespace waxwingvale::standin
