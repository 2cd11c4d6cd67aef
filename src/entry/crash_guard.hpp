#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/backend_incarnation.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Keeps requests that crash backend servers from being run again and again:
// the quarantine with its clock, the lives of backend servers as answers tell
// them, and word to and from the other entry processes.
class crash_guard {
public:
    crash_guard(const std::string& self, io::message_hub& hub,
                kernel::timer_service& timers, program::gauge suspicions);

    // False while no request is under suspicion: then fingerprints need not
    // even be computed.
    bool watching() const { return quarantine_.size() > 0; }

    // Whether the fingerprint of a request that passed is worth computing: of
    // each while some are under suspicion, else of every eighth, which soon
    // finds those that are popular and must not become suspects.
    bool wants_pass();

    decision::quarantine_decision admit(decision::request_fingerprint of);
    // A backend server answered, in this life.
    void on_alive(const std::string& backend_server,
                  backend_incarnation incarnation);
    // A connection broke without an answer. Whether this is the first sign of
    // the server's death; then report what was in flight there.
    bool is_news(const std::string& backend_server,
                 backend_incarnation incarnation) const;
    void on_died(const std::string& backend_server,
                 backend_incarnation incarnation,
                 const std::vector<decision::request_fingerprint>& in_flight);
    void on_passed(decision::request_fingerprint of);
    // A request that may only run alone was sent to that backend server.
    void on_trial_placed(decision::request_fingerprint of,
                         const std::string& backend_server);
    void on_trial_abandoned(decision::request_fingerprint of);

private:
    struct backend_sight {
        backend_incarnation incarnation = 0;
        bool dead = false;
    };

    void take(const std::string& peer, const std::vector<std::uint8_t>& bytes);
    void tell_all(const std::vector<decision::suspicion_update>& words);

    io::message_hub& hub_;
    kernel::timer_service& timers_;
    program::gauge suspicions_;
    decision::quarantine quarantine_;
    std::map<std::string, backend_sight> backend_servers_;
    unsigned passes_ = 0;
    kernel::timer_service::subscription forgetting_;
};

} // namespace waxwingvale::entry
