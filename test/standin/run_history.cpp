#include "standin/run_history.hpp"

#include <algorithm>
#include <fstream>
#include <map>

namespace waxwingvale::standin {

namespace {

using nlohmann::json;

bool is_run(const json& event) {
    return event.at("event") == "run_begin";
}

std::map<std::string, std::size_t> runs_by_key(const std::vector<json>& from) {
    std::map<std::string, std::size_t> counts;
    for (const auto& event : from) {
        const auto key = event.value("key", "");
        if (is_run(event) && !key.empty()) {
            ++counts[key];
        }
    }
    return counts;
}

} // namespace

run_history::run_history(const std::string& file) {
    std::ifstream lines(file);
    std::string line;
    while (std::getline(lines, line)) {
        events_.push_back(json::parse(line));
    }
}

std::size_t run_history::runs_of(const std::string& key) const {
    const auto counts = runs_by_key(events_);
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

std::size_t run_history::most_runs_of_a_key() const {
    std::size_t most = 0;
    for (const auto& each : runs_by_key(events_)) {
        most = std::max(most, each.second);
    }
    return most;
}

std::size_t run_history::different_keys() const {
    return runs_by_key(events_).size();
}

std::size_t run_history::runs_on(const std::string& backend_server,
                                 long long later_than_us) const {
    return static_cast<std::size_t>(
        std::count_if(events_.begin(), events_.end(), [&](const json& event) {
            return is_run(event) &&
                   event.at("backend_server") == backend_server &&
                   event.at("at_us") > later_than_us;
        }));
}

long long run_history::moment_of(const std::string& event,
                                 const std::string& backend_server) const {
    for (const auto& each : events_) {
        if (each.at("event") == event &&
            each.at("backend_server") == backend_server) {
            return each.at("at_us").get<long long>();
        }
    }
    return -1;
}

std::size_t run_history::ended(const std::string& how) const {
    return static_cast<std::size_t>(
        std::count_if(events_.begin(), events_.end(), [&](const json& event) {
            return event.value("how", "") == how;
        }));
}

sent_attempts run_history::attempts() const {
    sent_attempts counted;
    for (const auto& event : events_) {
        if (event.at("event") == "answer") {
            ++counted.sent;
            counted.answered += event.at("status") == 0 ? 0 : 1;
        }
    }
    return counted;
}

} // namespace waxwingvale::standin
