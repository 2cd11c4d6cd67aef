#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "standin/request_target.hpp"

namespace waxwingvale::platform {

// The platform's store, read and watched on the loop of the test.
class stand_in_store {
public:
    stand_in_store(kernel::event_loop& loop, kernel::timer_service& timers);
    std::uint16_t port() const { return server_.port(); }
    // Each returns the store's revision after the change.
    std::uint64_t write(const std::string& configuration);
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    // From now on no question is answered; those of the time stay so.
    void set_silent(bool silent) { silent_ = silent; }

private:
    struct watch {
        std::uint64_t after = 0;
        io::http_responder respond;
        kernel::timer_service::subscription expiry;
    };

    // The last change of one key.
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    std::uint64_t change(const std::string& key, item to);
    void answer(const io::http_request& request,
                const io::http_responder& respond);
    std::string list() const;
    std::string changes(std::uint64_t after) const;
    void add_watch(const standin::request_target& asked,
                   const io::http_responder& respond);

    kernel::timer_service& timers_;
    std::list<watch> watches_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    bool silent_ = false;
    // Last: it still takes what was sent to it while it ends.
    io::http_server server_;
};

} // namespace waxwingvale::platform
