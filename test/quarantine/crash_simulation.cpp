#include "quarantine/crash_simulation.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace quarantine_model {
namespace {

constexpr std::size_t entry_count = 4;
constexpr std::size_t backend_count = 6;
constexpr std::size_t slots = 6;
constexpr unsigned harmless_kinds = 5;
constexpr unsigned max_crashed = 2;

const request_fingerprint crashing_request{99};

std::string name_of(std::size_t backend) {
    return "b" + std::to_string(backend);
}

} // namespace

const std::vector<crash_simulation::handler>& crash_simulation::handlers() {
    static const std::vector<handler> all{
        &crash_simulation::send_crashing,  &crash_simulation::send_crashing,
        &crash_simulation::send_harmless,  &crash_simulation::send_harmless,
        &crash_simulation::send_harmless,  &crash_simulation::send_harmless,
        &crash_simulation::answer_request, &crash_simulation::answer_request,
        &crash_simulation::answer_request, &crash_simulation::crash_backend,
        &crash_simulation::crash_backend,  &crash_simulation::fail_rack,
        &crash_simulation::advance_time,
    };
    return all;
}

crash_simulation::crash_simulation(const crash_rules& rules)
    : rules_(rules), backends_(backend_count, 1) {
    for (std::size_t at = 0; at < entry_count; ++at) {
        entries_.emplace_back("e" + std::to_string(at), quarantine_limits());
    }
}

std::string crash_simulation::run(const standin::schedule& steps) {
    for (const auto& step : steps) {
        (this->*handlers()[step.kind % handlers().size()])(step);
        check_harmless();
        if (!violated_.empty()) {
            return violated_;
        }
    }
    run_to_quiescence();
    return violated_;
}

void crash_simulation::send_crashing(const standin::step& step) {
    const bool in_flight =
        std::any_of(running_.begin(), running_.end(), [](const auto& r) {
            return r.fingerprint == crashing_request;
        });
    if (!in_flight) {
        send(step.a % entry_count, crashing_request);
    }
}

void crash_simulation::send_harmless(const standin::step& step) {
    send(step.a % entry_count, request_fingerprint{step.b % harmless_kinds});
}

void crash_simulation::send(std::size_t entry,
                            request_fingerprint fingerprint) {
    const auto decision = entries_[entry].admit(fingerprint, now_);
    const auto first = running_.size() + fingerprint.value;
    if (std::holds_alternative<run_normally>(decision)) {
        place(entry, fingerprint, "", false, first);
    } else if (const auto* alone = std::get_if<run_alone>(&decision)) {
        place(entry, fingerprint, alone->avoid, rules_.trial_is_alone, first);
    }
}

bool crash_simulation::has_capacity(std::size_t backend, bool alone) const {
    std::size_t there = 0;
    for (const auto& request : running_) {
        if (request.backend == backend) {
            ++there;
            if (request.alone) {
                return false;
            }
        }
    }
    return alone ? there == 0 : there < slots;
}

bool crash_simulation::has_trial(std::size_t backend) const {
    return std::any_of(running_.begin(), running_.end(), [&](const auto& r) {
        return r.backend == backend && r.alone;
    });
}

void crash_simulation::place(std::size_t entry, request_fingerprint fingerprint,
                             const std::string& avoid, bool alone,
                             std::size_t first) {
    for (std::size_t at = 0; at < backend_count; ++at) {
        const auto backend = (first + at) % backend_count;
        if (name_of(backend) != avoid && has_capacity(backend, alone)) {
            running_.push_back({entry, backend, fingerprint, alone});
            if (!avoid.empty()) {
                entries_[entry].on_trial_placed(
                    fingerprint, {name_of(backend), backends_[backend]});
            }
            return;
        }
    }
    entries_[entry].on_trial_abandoned(fingerprint);
}

void crash_simulation::answer_request(const standin::step& step) {
    if (running_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(step.a % running_.size());
    const auto request = running_[static_cast<std::size_t>(at)];
    if (request.fingerprint == crashing_request) {
        return;
    }
    running_.erase(running_.begin() + at);
    const auto update =
        entries_[request.entry].on_answered(request.fingerprint, now_);
    if (update) {
        notify_peers(request.entry, *update);
    }
}

void crash_simulation::crash_backend(const standin::step&) {
    for (const auto& request : running_) {
        if (request.fingerprint == crashing_request) {
            if (++crashed_ > max_crashed) {
                violate("a request crashed more than two backend servers");
            }
            end_backend(request.backend);
            return;
        }
    }
}

void crash_simulation::fail_rack(const standin::step& step) {
    // Half of the backend servers crash at once, at most once per schedule.
    // Backend servers with a trial are left out: if a rack failure ends a
    // trial, it cannot be told from a request that crashes its backend server.
    // This is a documented limit of the design.
    if (rack_failed_ || step.a % 4 != 0) {
        return;
    }
    rack_failed_ = true;
    for (std::size_t at = 0; at < backend_count / 2; ++at) {
        if (!has_trial(at)) {
            end_backend(at);
        }
    }
}

void crash_simulation::end_backend(std::size_t backend) {
    const backend_process died{name_of(backend), backends_[backend]++};
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        std::vector<request_fingerprint> in_flight;
        for (const auto& request : running_) {
            if (request.backend == backend && request.entry == entry) {
                in_flight.push_back(request.fingerprint);
            }
        }
        for (const auto& update :
             entries_[entry].on_backend_died(died, in_flight, now_)) {
            notify_peers(entry, update);
        }
    }
    running_.erase(
        std::remove_if(running_.begin(), running_.end(),
                       [&](const auto& r) { return r.backend == backend; }),
        running_.end());
}

void crash_simulation::notify_peers(std::size_t from,
                                    const suspicion_update& update) {
    for (std::size_t at = 0; at < entry_count && rules_.peers_receive_updates;
         ++at) {
        if (at != from) {
            entries_[at].merge(update, now_);
        }
    }
}

void crash_simulation::advance_time(const standin::step& step) {
    now_ += std::chrono::milliseconds(step.a % 2 == 0 ? step.b : step.b * 4);
}

void crash_simulation::check_harmless() {
    for (const auto& entry : entries_) {
        for (const auto fingerprint : entry.quarantined(now_)) {
            if (fingerprint != crashing_request.value) {
                violate("a harmless request was quarantined");
            }
        }
    }
}

void crash_simulation::run_to_quiescence() {
    running_.clear();
    for (auto& entry : entries_) {
        for (unsigned kind = 0; kind < harmless_kinds; ++kind) {
            entry.on_trial_abandoned(request_fingerprint{kind});
        }
    }
    now_ += quarantine_limits().trial_reservation;
    for (auto& entry : entries_) {
        for (unsigned kind = 0; kind < harmless_kinds; ++kind) {
            const auto decision = entry.admit(request_fingerprint{kind}, now_);
            if (std::holds_alternative<refuse_suspect>(decision)) {
                violate("a harmless request is still refused after the trial "
                        "reservation");
            }
        }
    }
}

void crash_simulation::violate(const std::string& what) {
    if (violated_.empty()) {
        violated_ = what;
    }
}

} // namespace quarantine_model
