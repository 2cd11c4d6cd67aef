#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/kernel/timer_service.hpp>

#include "platform/instance_group.hpp"
#include "platform/received_answer.hpp"
#include "platform/scripted_server.hpp"
#include "platform/stand_in_store.hpp"
#include "standin/raw_peer.hpp"

namespace waxwingvale::platform {

// How a caller sends a request.
struct raw_request {
    std::string method = "GET";
    std::string target;
    std::size_t body_size = 0;    // bytes
    bool chunked = false;         // the body goes in chunks
    std::size_t at_once = 0;      // bytes of the body that go with the head
    std::size_t piece = 4 * 1024; // bytes of the body that go at a time
    std::string version = "HTTP/1.1";
};

// One request on a connection of its own, and the raw bytes that came back.
class raw_call {
public:
    raw_call(kernel::event_loop& loop, kernel::timer_service& timers,
             std::uint16_t port, const raw_request& request, std::string id);
    raw_call(const raw_call&) = delete;
    raw_call& operator=(const raw_call&) = delete;

    const std::string& id() const { return id_; }
    const std::string& bytes() const { return connection_->received(); }
    received_answer answer() const;
    // Its connection has ended, or a whole answer has come.
    bool over() const;

private:
    void send_piece();
    std::string framed(std::size_t bytes) const;

    raw_request request_;
    std::string id_;
    std::size_t left_; // bytes of the body
    std::unique_ptr<standin::raw_connection> connection_;
    kernel::timer_service::subscription sending_;
};

// Three instances as processes of their own, whose budgets allow each request
// one repeat, on a stand-in store and servers that all answer as the test
// scripts it. Routes: /look/ may be repeated, /fetch/ is a download, /book/ may
// not be repeated.
class scripted_world : public standin::loop_fixture {
public:
    explicit scripted_world(scripted_server::script answers,
                            std::size_t server_count = 4,
                            const std::string& program = shipped_program);

    std::unique_ptr<raw_call> call(std::size_t by_instance,
                                   const raw_request& request);
    // Sends it and waits until it is over; false: it was not in time.
    bool finish(const raw_call& call);
    // The first instance reaches no server any more, so that others serve what
    // it is asked. Needs a cut_node.
    void partition_first();
    // How often servers got the request of that id.
    unsigned arrivals(const std::string& id) const;
    unsigned used_again() const;
    // Asks again and again until a signed answer comes.
    bool serves_a_read();

    stand_in_store store{loop, timers};
    std::vector<std::unique_ptr<scripted_server>> servers;
    instance_group instances;

private:
    unsigned calls_ = 0;
};

} // namespace waxwingvale::platform
