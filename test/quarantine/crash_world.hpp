#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standin/explore.hpp"

#include <waxwingvale/decision/quarantine.hpp>

namespace quarantine_model {

namespace decision = waxwingvale::decision;

// What a variant of the model leaves out.
struct crash_rules {
    bool peers_hear = true;     // word reaches the others before a resend
    bool trial_is_alone = true; // run_alone is honoured
};

// A request on a backend server.
struct running_request {
    std::size_t entry = 0;
    std::size_t backend = 0;
    decision::request_fingerprint fingerprint;
    bool alone = false;
};

// Entry instances that give requests to backend servers. One request kills
// whatever runs it, and its only caller sends it again through any entry
// instance once its backend server has died; the others are innocent.
class crash_world {
public:
    explicit crash_world(const crash_rules& rules);
    std::string run(const standin::schedule& steps);

private:
    using handler = void (crash_world::*)(const standin::step&);
    static const std::vector<handler>& handlers();

    void send_killer(const standin::step& of);
    void send_innocent(const standin::step& of);
    void finish(const standin::step& of);
    void crash(const standin::step& of);
    void lose_rack(const standin::step& of);
    void pass_time(const standin::step& of);

    void send(std::size_t entry, decision::request_fingerprint fingerprint);
    void place(std::size_t entry, decision::request_fingerprint fingerprint,
               const std::string& avoid, bool alone, std::size_t first);
    void die(std::size_t backend);
    void tell_peers(std::size_t from, const decision::suspicion_word& word);
    bool takes(std::size_t backend, bool alone) const;
    bool on_trial(std::size_t backend) const;
    void check_innocents();
    void come_to_rest();
    void violate(const std::string& what);

    crash_rules rules_;
    waxwingvale::time_point now_{};
    std::vector<decision::quarantine> entries_;
    std::vector<std::uint64_t> backends_; // their incarnations
    std::vector<running_request> running_;
    unsigned killed_ = 0;
    bool rack_lost_ = false;
    std::string violated_;
};

} // namespace quarantine_model
