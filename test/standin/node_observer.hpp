#pragma once

#include <functional>
#include <memory>
#include <string>

#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/membership/peer_exchange.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::standin {

// Takes part in the exchange with one entry instance, so that it knows what
// that instance knows, and may tell it things; it is no member itself.
class node_observer {
public:
    node_observer(kernel::event_loop& loop, kernel::timer_service& timers,
                  std::string instance, const std::string& shared_key,
                  std::uint16_t control_port);
    ~node_observer();

    // What the instance knows, as far as it was told: configuration, members,
    // beliefs and quarantined requests.
    view seen() const;
    // When word of the instance came last.
    time_point heard() const { return heard_; }
    const io::message_hub_counters& counters() const;

    void tell(const backend_belief& belief);
    void tell(const membership::death_record& death);

private:
    struct tables;

    void receive(const std::string& kind, const io::message_hub::payload& body);
    void send_waiting();

    kernel::timer_service& timers_;
    std::string instance_;
    std::unique_ptr<tables> tables_;
    std::unique_ptr<io::message_hub> hub_;
    time_point heard_{};
    kernel::timer_service::subscription ticking_;
};

} // namespace waxwingvale::standin
