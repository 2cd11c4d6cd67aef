#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standin/explore.hpp"

#include <waxwingvale/decision/quarantine.hpp>

namespace quarantine_model {

namespace decision = waxwingvale::decision;

// Rules of the quarantine that a broken variant leaves out.
struct crash_rules {
    bool peers_receive_updates = true; // before the request is sent again
    bool trial_is_alone = true;        // run_alone is obeyed
};

// A request that runs on a backend server.
struct running_request {
    std::size_t entry = 0;
    std::size_t backend = 0;
    decision::request_fingerprint fingerprint;
    bool alone = false;
};

// Simulates entry instances that send requests to backend servers. One request
// crashes every backend server that runs it, and its only caller sends it again
// through any entry instance after its backend server has crashed. All other
// requests are harmless.
class crash_simulation {
public:
    explicit crash_simulation(const crash_rules& rules);
    std::string run(const standin::schedule& steps);

private:
    using handler = void (crash_simulation::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    void send_crashing(const standin::step& step);
    void send_harmless(const standin::step& step);
    void answer_request(const standin::step& step);
    void crash_backend(const standin::step& step);
    void fail_rack(const standin::step& step);
    void advance_time(const standin::step& step);

    void send(std::size_t entry, decision::request_fingerprint fingerprint);
    void place(std::size_t entry, decision::request_fingerprint fingerprint,
               const std::string& avoid, bool alone, std::size_t first);
    void end_backend(std::size_t backend);
    void notify_peers(std::size_t from,
                      const decision::suspicion_update& update);
    bool has_capacity(std::size_t backend, bool alone) const;
    bool has_trial(std::size_t backend) const;
    void check_harmless();
    void run_to_quiescence();
    void violate(const std::string& what);

    crash_rules rules_;
    waxwingvale::time_point now_{};
    std::vector<decision::quarantine> entries_;
    std::vector<std::uint64_t> backends_; // their incarnations
    std::vector<running_request> running_;
    unsigned crashed_ = 0;
    bool rack_failed_ = false;
    std::string violated_;
};

} // namespace quarantine_model
