#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/decision/reach_monitor.hpp>
#include <waxwingvale/decision/unproven_losses.hpp>
#include <waxwingvale/entry/request_protocol.hpp>
#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// Watches whether this instance reaches backend servers: hands the ends of
// attempts to the reach_monitor, asks servers over new connections and peers
// whether servers answer them, and answers the same question of peers.
class reach_watch {
public:
    using settled_handler = std::function<void(decision::failure_meaning)>;

    reach_watch(const request_protocol& protocol, kernel::timer_service& timers,
                forwarding::backend_pool& pool, io::message_hub& hub,
                program::gauge partitioned, program::counter checks);

    decision::backend_reach reach() const { return monitor_.reach(); }
    bool partitioned() const {
        return reach() == decision::backend_reach::partitioned;
    }
    // When the last connection was begun that has brought a server's answer.
    std::optional<time_point> last_reached() const {
        return monitor_.last_proof();
    }
    // Whether what would be sent to servers is to wait; see when_settled().
    bool holds() const { return monitor_.holds(); }
    // Whether it is refused instead, as nobody is there who could serve it.
    bool refuses() const { return monitor_.refuses(); }

    void follow(view_ptr now);

    // What an ended call to a backend server means. If that is open, the
    // handler is called once it is known, and else never.
    decision::failure_meaning judge(const std::string& backend_server,
                                    const forwarding::backend_result& ended,
                                    settled_handler when_settled);
    // The same of a call for which nobody waits any longer.
    decision::failure_meaning on_silence(const std::string& backend_server,
                                         settled_handler when_settled);
    // Calls it when the check that is under way has ended, or what waits for it
    // is refused.
    void when_settled(settled_handler handler);
    // When the latest check was begun.
    time_point check_began() const { return check_began_; }
    // Tells what a loss means once the check that is under way has ended. It is
    // never told without a check, for which checks begin some times a second at
    // most, nor for more than a few losses that are no trials.
    void when_checked(decision::unproven_loss loss);
    // Called when this instance has become partitioned, or is no more.
    void on_change(std::function<void(bool partitioned)> handler) {
        on_change_ = std::move(handler);
    }

private:
    decision::failure_meaning note_failure(const std::string& backend_server,
                                           decision::failure_kind kind,
                                           settled_handler when_known);
    void note_answer(time_point connecting_began);
    void update();
    void carry_out();
    void settle_waiting();
    void end_asking();
    void begin_check();
    void tick(time_point now);
    void ask_servers();
    void ask_server(const service& of, const backend_server& server);
    void end_ask(std::uint64_t number, const std::string& backend_server,
                 const forwarding::backend_result& ended);
    void ask_peers();
    void ask_peer(const std::string& peer);
    void ask_newcomer(const std::string& peer);
    void take(const std::string& peer, const std::vector<std::uint8_t>& bytes);
    void answer_peers();
    bool answered_lately() const;
    void log_change() const;

    const request_protocol& protocol_;
    kernel::timer_service& timers_;
    forwarding::backend_pool& pool_;
    io::message_hub& hub_;
    program::gauge gauge_;
    program::counter checks_;
    decision::reach_monitor monitor_;
    bool told_partitioned_ = false;
    bool updating_ = false;
    bool update_again_ = false;
    view_ptr view_;
    std::set<std::string> failed_; // servers, since the doubt began
    // Questions to servers without an answer, of this check.
    std::map<std::uint64_t, forwarding::backend_pool::call_id> asked_;
    std::uint64_t next_ask_ = 1;
    std::uint64_t round_ = 0; // of checks, and so of questions to peers
    time_point check_began_{};
    time_point last_tick_{};
    bool peers_asked_ = false;    // of this check
    bool any_ask_failed_ = false; // of this check
    bool asked_others_ = false;   // as all that were asked first have failed
    time_point last_answer_{};
    bool any_answer_ = false;
    // Peers that asked, and the rounds of theirs, until servers answer here.
    std::map<std::string, std::uint64_t> waiting_peers_;
    std::vector<settled_handler> waiting_;
    decision::unproven_losses unproven_; // see when_checked()
    std::function<void(bool)> on_change_;
    kernel::timer_service::subscription ticking_;
};

} // namespace waxwingvale::entry
