#include "waxwing_history/history_check.hpp"

#include <sstream>
#include <stdexcept>

#include <waxwingvale/io/history_file.hpp>

namespace waxwingvale::history_check {
namespace {

double number(const std::map<std::string, docopt::value>& given,
              const std::string& option) {
    const auto text = given.at(option).asString();
    std::istringstream in(text);
    double value = 0;
    if (!(in >> value) || !in.eof() || value < 0) {
        throw std::invalid_argument(option + "=" + text +
                                    " is not a number of 0 or more");
    }
    return value;
}

duration milliseconds(const std::map<std::string, docopt::value>& given,
                      const std::string& option) {
    constexpr double micros = 1000;
    return duration(static_cast<duration::rep>(number(given, option) * micros));
}

} // namespace

decision::history_bounds
bounds_from(const std::map<std::string, docopt::value>& given) {
    decision::history_bounds bounds;
    bounds.probe_rate = number(given, "--probe-rate");
    bounds.no_new_work = milliseconds(given, "--no-new-work-ms");
    bounds.newest_everywhere = milliseconds(given, "--in-force-ms");
    return bounds;
}

result<checked_history> check_files(const std::vector<std::string>& names,
                                    const decision::history_bounds& bounds) {
    checked_history checked;
    decision::history all;
    for (const auto& name : names) {
        const auto file = io::read_history_file(name);
        if (!file) {
            return file.error();
        }
        const auto& events = file.value().events;
        all.insert(all.end(), events.begin(), events.end());
        for (const auto& [event, times] : file.value().skipped) {
            checked.skipped[event] += times;
        }
    }
    checked.events = all.size();
    checked.found = decision::check_history(all, bounds);
    return checked;
}

std::string report(const checked_history& checked) {
    std::ostringstream text;
    for (const auto& violation : checked.found) {
        text << "broken " << to_string(violation.rule) << " at "
             << violation.at.time_since_epoch().count()
             << " us: " << violation.subject << ' ' << violation.detail << '\n';
    }
    for (const auto& [event, times] : checked.skipped) {
        text << "skipped " << times << " lines of " << event << '\n';
    }
    text << checked.events << " events, " << checked.found.size()
         << " promises broken\n";
    return text.str();
}

} // namespace waxwingvale::history_check
