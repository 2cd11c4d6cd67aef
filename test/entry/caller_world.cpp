#include "entry/caller_world.hpp"

#include <catch2/catch.hpp>

namespace waxwingvale::standin {

namespace {

using namespace std::chrono_literals;

request_class make_class(const char* name, const char* method,
                         request_nature nature) {
    request_class made;
    made.name = name;
    made.methods = {method};
    made.path_prefix = "/";
    made.nature = nature;
    made.deadline = 10s;
    return made;
}

backend_server make_server(const char* name, const raw_listener& at,
                           unsigned slots) {
    backend_server made;
    made.name = name;
    made.host = "127.0.0.1";
    made.port = at.port();
    made.slots = slots;
    return made;
}

std::size_t count_of(const std::string& text, const std::string& in) {
    std::size_t count = 0;
    for (auto at = in.find(text); at != in.npos; at = in.find(text, at + 1)) {
        ++count;
    }
    return count;
}

std::string request(const std::string& method, const std::string& more = {}) {
    return method + " /desk/x HTTP/1.1\r\nHost: h\r\nWaxwing-Tenant: t\r\n" +
           more + (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
}

} // namespace

caller_world::caller_world(unsigned slots) {
    service of;
    of.name = "desk";
    of.classes = {make_class("look", "GET", request_nature::retriable),
                  make_class("book", "POST", request_nature::at_most_once)};
    of.backend_servers = {make_server("a", a, slots),
                          make_server("b", b, slots)};
    of.budgets.hedges = 0;
    config.key_lifetime = 10min;
    config.key_limit = 100;
    config.services = {of};
    publish();
    REQUIRE(callers.start([this](forwarding::caller_exchange_ptr caller) {
        desk.take(std::move(caller));
    }));
}

void caller_world::publish() {
    auto now = std::make_shared<view>();
    now->config = std::make_shared<const configuration>(config);
    member self;
    self.id = {"entry-0", 1};
    now->members = {self};
    now->fresh = true;
    desk.take(program::with_owners(now));
}

std::unique_ptr<raw_connection> caller_world::caller() {
    return connect_to(loop, callers.port());
}

std::string caller_world::get() {
    return request("GET");
}

std::string caller_world::post() {
    return request("POST");
}

std::string caller_world::post_with_key(const std::string& number) {
    return request("POST",
                   "Idempotency-Key: entry-0.1.caller." + number + "\r\n");
}

void caller_world::warm_up(unsigned connections) {
    std::vector<std::unique_ptr<raw_connection>> readers;
    for (unsigned i = 0; i < connections; ++i) {
        readers.push_back(caller());
        readers.back()->send(get());
    }
    REQUIRE(run_until([&] { return requests_at_servers() == connections; }));
    for (auto* server : {&a, &b}) {
        for (std::size_t i = 0; i < server->count(); ++i) {
            answer(server->at(i), "HTTP/1.1 200 OK\r\n");
        }
    }
    REQUIRE(run_until([&] { return desk.open_calls() == 0; }));
}

std::size_t caller_world::requests_at(raw_listener& server) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < server.count(); ++i) {
        count += count_of("Host: h\r\n", server.at(i).received());
    }
    return count;
}

raw_connection* caller_world::busy_connection(raw_listener& server) {
    for (std::size_t i = 0; i < server.count(); ++i) {
        if (!server.at(i).received().empty()) {
            return &server.at(i);
        }
    }
    return nullptr;
}

void caller_world::answer(raw_connection& of_server, const std::string& head) {
    of_server.take_received();
    of_server.send(head + "Content-Length: 0\r\n\r\n");
}

} // namespace waxwingvale::standin
