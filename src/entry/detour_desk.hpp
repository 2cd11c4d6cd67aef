#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <waxwingvale/forwarding/backend_pool.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/model/view.hpp>

#include "entry/detour_headers.hpp"

namespace waxwingvale::entry {

// Sends requests to the instances that serve them for this one while it is
// partitioned from the backend servers, and spreads them over those.
class detour_desk {
public:
    detour_desk(std::string self, kernel::timer_service& timers,
                forwarding::backend_pool& peers, std::string token);

    void follow(const view& now);

    // The instance that is to serve the next request; nothing when none can.
    // `tried` are those that have not taken it.
    std::optional<member> choose(const std::set<std::string>& tried);
    // Sends a request to that instance. Ends like a call to a backend server.
    forwarding::backend_pool::call_id
    send(const member& to, forwarding::backend_call request,
         const detour_request& with, forwarding::backend_pool::handler on_done,
         forwarding::long_answer_handlers on_long);
    void cancel(const std::string& instance,
                forwarding::backend_pool::call_id call);
    bool sent(forwarding::backend_pool::call_id call) const {
        return peers_.sent(call);
    }
    void pause(forwarding::backend_pool::call_id call) { peers_.pause(call); }
    void resume(forwarding::backend_pool::call_id call) { peers_.resume(call); }
    // That instance took no request just now.
    void avoid(const std::string& instance);

    const std::string& token() const { return token_; }

private:
    void close_one(const std::string& instance);

    std::string self_;
    kernel::timer_service& timers_;
    forwarding::backend_pool& peers_;
    std::string token_;
    std::vector<member> members_;
    std::string data_centre_;
    std::map<std::string, std::size_t> open_; // requests, by instance
    std::map<std::string, time_point> avoided_until_;
    std::uint64_t number_ = 0; // of requests
};

} // namespace waxwingvale::entry
