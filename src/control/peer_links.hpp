#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/knowledge.hpp"
#include "control/view_publisher.hpp"
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/membership/link_plan.hpp>
#include <waxwingvale/membership/peer_exchange.hpp>
#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::control {

// Opens the links that the members ask for and carries the exchange's
// messages over them.
class peer_links {
public:
    peer_links(io::message_hub& hub, kernel::timer_service& timers,
               knowledge& known, const view_publisher& views,
               std::vector<program::seed_settings> seeds, std::uint64_t seed);

    void change_seeds(std::vector<program::seed_settings> seeds) {
        seeds_ = std::move(seeds);
    }

    // Called whenever something a peer said may have changed what is known.
    void on_heard(std::function<void()> handler) {
        on_heard_ = std::move(handler);
    }

    // See configuration_exchange.
    void offer_files_by(membership::configuration_exchange::offerer offers) {
        exchange_.offer_files_by(std::move(offers));
    }

    // Computes the links anew and dials, or gives up, what changed.
    void plan();
    // Also plans, when members have changed, a link is missing, or `anyhow`.
    void tick(time_point now, bool anyhow);
    void woke_late(duration stopped, time_point now) {
        exchange_.woke_late(stopped, now);
    }
    void set_platform_answers(bool answers) {
        exchange_.set_platform_answers(answers);
    }
    // Hands over to the hub what the exchange has to say.
    void send_waiting();

    const membership::peer_exchange& exchange() const { return exchange_; }
    std::uint64_t malformed() const { return malformed_; }

private:
    struct dialed_link {
        member_addresses address;
        bool dialing = false;
        time_point planned{};  // since when
        time_point unwanted{}; // since when, if it is not
    };

    void on_link(const std::string& peer, bool up);
    void on_message(const std::string& kind, const std::string& peer,
                    const io::message_hub::payload& body);
    std::set<std::string> wanted_links() const;
    std::set<std::string>
    tell_each_other(const std::set<std::string>& wanted) const;
    std::set<std::string> central() const;
    std::vector<membership::placed_member> placed(bool with_gone) const;
    void want(const std::string& peer, const member_addresses& address,
              time_point now);
    void drop_unwanted(const std::set<std::string>& wanted, time_point now);
    void dial(const std::string& peer, const member_addresses& address);
    void dial_seeds();

    io::message_hub& hub_;
    kernel::timer_service& timers_;
    knowledge& known_;
    const view_publisher& views_;
    std::vector<program::seed_settings> seeds_;
    membership::peer_exchange exchange_;
    std::map<std::string, dialed_link> links_;
    std::uint64_t planned_for_ = 0; // version of the members
    bool missing_links_ = true;
    std::function<void()> on_heard_;
    std::uint64_t malformed_ = 0;
};

} // namespace waxwingvale::control
