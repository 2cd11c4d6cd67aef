#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <waxwingvale/io/http_client.hpp>

#include "platform/ending_server.hpp"
#include "platform/instance_group.hpp"
#include "platform/stand_in_store.hpp"

namespace waxwingvale::platform {

// What became of the requests of one kind.
struct sent_requests {
    std::map<unsigned, unsigned> answers; // by status; 0: none
    unsigned refused_for_good() const {
        const auto found = answers.find(422);
        return found == answers.end() ? 0 : found->second;
    }
};

// Several instances on stand-in servers whose processes may end under requests
// and start again under other ids. Requests are sent as callers of the platform
// do: each attempt has an id and a deadline of its own.
class ending_servers {
public:
    explicit ending_servers(std::size_t instance_count = 4,
                            std::size_t server_count = 8,
                            const nlohmann::json& budgets = {},
                            const std::vector<std::string>& zones = {"north"},
                            const std::string& program = shipped_program);

    // A request to be sent, by the name under which its answers are counted.
    struct request {
        std::string name;
        std::string host = "a.example";
        std::string target;
        std::string method = "GET";
        io::http_headers headers; // besides those that each attempt has
        std::string body;
    };

    void send(const request& which, std::size_t by_instance);
    // Sends it every `gap`, by way of one instance after the other, for that
    // long; then waits for the answers.
    void repeat(const request& which, duration gap, duration time);
    void go_on(duration time);
    // Goes on until it holds; false when it does not within some seconds.
    bool go_on_until(const std::function<bool()>& holds);

    // What servers do with a request.
    std::function<run_end(const io::http_request&)> decide =
        [](const io::http_request&) { return run_end::answer; };
    void ends_by(process_end how);
    // Starts the next process of one that has ended.
    void start_again(ending_server& which) { begin_process(which); }

    kernel::monotonic_clock clock;
    kernel::event_loop loop;
    kernel::timer_service timers{clock, loop};
    stand_in_store store{loop, timers};
    std::vector<std::unique_ptr<ending_server>> servers;
    instance_group instances;
    std::map<std::string, sent_requests> sent; // by their names
    std::vector<time_point> ends;              // of servers' processes
    bool starts_again = true;
    duration down_for = std::chrono::milliseconds(1500);
    duration listed_for = std::chrono::milliseconds(2500); // after an end

private:
    std::string entry_of(const ending_server& which) const;
    void list(const ending_server& which);
    void begin_process(ending_server& which);
    void follow_end(ending_server& ended);

    io::http_client client_{loop, {}};
    std::list<kernel::timer_service::subscription> later_;
    unsigned processes_begun_ = 0;
    unsigned attempts_ = 0;
    unsigned open_ = 0;
};

} // namespace waxwingvale::platform
