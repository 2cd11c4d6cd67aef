#include "quarantine/crash_world.hpp"

#include <algorithm>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace quarantine_model {
namespace {

constexpr std::size_t entry_count = 4;
constexpr std::size_t backend_count = 6;
constexpr std::size_t slots = 6;
constexpr unsigned innocent_kinds = 5;
constexpr unsigned most_killed = 2;

const request_fingerprint killer{99};

std::string name_of(std::size_t backend) {
    return "b" + std::to_string(backend);
}

} // namespace

const std::vector<crash_world::handler>& crash_world::handlers() {
    static const std::vector<handler> all{
        &crash_world::send_killer,   &crash_world::send_killer,
        &crash_world::send_innocent, &crash_world::send_innocent,
        &crash_world::send_innocent, &crash_world::send_innocent,
        &crash_world::finish,        &crash_world::finish,
        &crash_world::finish,        &crash_world::crash,
        &crash_world::crash,         &crash_world::lose_rack,
        &crash_world::pass_time,
    };
    return all;
}

crash_world::crash_world(const crash_rules& rules)
    : rules_(rules), backends_(backend_count, 1) {
    for (std::size_t at = 0; at < entry_count; ++at) {
        entries_.emplace_back("e" + std::to_string(at), quarantine_limits());
    }
}

std::string crash_world::run(const standin::schedule& steps) {
    for (const auto& of : steps) {
        (this->*handlers()[of.kind % handlers().size()])(of);
        check_innocents();
        if (!violated_.empty()) {
            return violated_;
        }
    }
    come_to_rest();
    return violated_;
}

void crash_world::send_killer(const standin::step& of) {
    const bool on_its_way =
        std::any_of(running_.begin(), running_.end(),
                    [](const auto& r) { return r.fingerprint == killer; });
    if (!on_its_way) {
        send(of.a % entry_count, killer);
    }
}

void crash_world::send_innocent(const standin::step& of) {
    send(of.a % entry_count, request_fingerprint{of.b % innocent_kinds});
}

void crash_world::send(std::size_t entry, request_fingerprint fingerprint) {
    const auto made = entries_[entry].admit(fingerprint, now_);
    const auto first = running_.size() + fingerprint.value;
    if (std::holds_alternative<run_normally>(made)) {
        place(entry, fingerprint, "", false, first);
    } else if (const auto* alone = std::get_if<run_alone>(&made)) {
        place(entry, fingerprint, alone->avoid, rules_.trial_is_alone, first);
    }
}

bool crash_world::takes(std::size_t backend, bool alone) const {
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

bool crash_world::on_trial(std::size_t backend) const {
    return std::any_of(running_.begin(), running_.end(), [&](const auto& r) {
        return r.backend == backend && r.alone;
    });
}

void crash_world::place(std::size_t entry, request_fingerprint fingerprint,
                        const std::string& avoid, bool alone,
                        std::size_t first) {
    for (std::size_t at = 0; at < backend_count; ++at) {
        const auto backend = (first + at) % backend_count;
        if (name_of(backend) != avoid && takes(backend, alone)) {
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

void crash_world::finish(const standin::step& of) {
    if (running_.empty()) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(of.a % running_.size());
    const auto request = running_[static_cast<std::size_t>(at)];
    if (request.fingerprint == killer) {
        return;
    }
    running_.erase(running_.begin() + at);
    const auto word =
        entries_[request.entry].on_passed(request.fingerprint, now_);
    if (word) {
        tell_peers(request.entry, *word);
    }
}

void crash_world::crash(const standin::step&) {
    for (const auto& request : running_) {
        if (request.fingerprint == killer) {
            if (++killed_ > most_killed) {
                violate("a request killed more than two backend servers");
            }
            die(request.backend);
            return;
        }
    }
}

void crash_world::lose_rack(const standin::step& of) {
    // Half of the backend servers at once, not more than once a schedule. A
    // trial is spared: when a rack takes it along, nobody can tell that from a
    // request that kills, and the design note says so.
    if (rack_lost_ || of.a % 4 != 0) {
        return;
    }
    rack_lost_ = true;
    for (std::size_t at = 0; at < backend_count / 2; ++at) {
        if (!on_trial(at)) {
            die(at);
        }
    }
}

void crash_world::die(std::size_t backend) {
    const backend_life died{name_of(backend), backends_[backend]++};
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        std::vector<request_fingerprint> in_flight;
        for (const auto& request : running_) {
            if (request.backend == backend && request.entry == entry) {
                in_flight.push_back(request.fingerprint);
            }
        }
        for (const auto& word :
             entries_[entry].on_backend_died(died, in_flight, now_)) {
            tell_peers(entry, word);
        }
    }
    running_.erase(
        std::remove_if(running_.begin(), running_.end(),
                       [&](const auto& r) { return r.backend == backend; }),
        running_.end());
}

void crash_world::tell_peers(std::size_t from, const suspicion_word& word) {
    for (std::size_t at = 0; at < entry_count && rules_.peers_hear; ++at) {
        if (at != from) {
            entries_[at].merge(word, now_);
        }
    }
}

void crash_world::pass_time(const standin::step& of) {
    now_ += std::chrono::milliseconds(of.a % 2 == 0 ? of.b : of.b * 4);
}

void crash_world::check_innocents() {
    for (const auto& entry : entries_) {
        for (const auto fingerprint : entry.quarantined(now_)) {
            if (fingerprint != killer.value) {
                violate("an innocent request was shut out");
            }
        }
    }
}

void crash_world::come_to_rest() {
    running_.clear();
    for (auto& entry : entries_) {
        for (unsigned kind = 0; kind < innocent_kinds; ++kind) {
            entry.on_trial_abandoned(request_fingerprint{kind});
        }
    }
    now_ += quarantine_limits().reserved_for;
    for (auto& entry : entries_) {
        for (unsigned kind = 0; kind < innocent_kinds; ++kind) {
            const auto made = entry.admit(request_fingerprint{kind}, now_);
            if (std::holds_alternative<refuse_suspect>(made)) {
                violate("an innocent request waits for ever");
            }
        }
    }
}

void crash_world::violate(const std::string& what) {
    if (violated_.empty()) {
        violated_ = what;
    }
}

} // namespace quarantine_model
