#include "entry/malformed_log.hpp"

#include <utility>

#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::entry {

namespace {

// A server that goes on like that leaves one line in this time.
constexpr duration line_period = std::chrono::seconds(1);
constexpr const char* name_of_further = "other";

const char* to_string(forwarding::call_purpose purpose) {
    return purpose == forwarding::call_purpose::check ? "check" : "request";
}

} // namespace

void malformed_log::record(const forwarding::malformed_bytes& found) {
    auto& of = server(found.backend_server);
    of.counted.add();
    const auto now = timers_.now();
    if (now < of.next_line) {
        ++of.since_line;
        return;
    }
    of.next_line = now + line_period;
    program::log_warning(
        "backend_answer_malformed",
        {{"backend_server", found.backend_server},
         {"on", to_string(found.purpose)},
         {"detail", found.detail},
         {"without_line", std::to_string(std::exchange(of.since_line, 0))}});
}

// Servers come and go all the time; what comes past the limit of labels is
// counted together.
malformed_log::known_server& malformed_log::server(const std::string& name) {
    const bool room =
        servers_.count(name) != 0 || servers_.size() < program::label_set_limit;
    const std::string under = room ? name : name_of_further;
    const auto known = servers_.find(under);
    if (known != servers_.end()) {
        return known->second;
    }
    const auto counted = all_.add_counter(
        "waxwing_backend_answers_malformed_total",
        "Bytes of a backend server that are no answer to what was asked.",
        {{"backend_server", under}});
    return servers_.emplace(under, known_server{counted}).first->second;
}

} // namespace waxwingvale::entry
