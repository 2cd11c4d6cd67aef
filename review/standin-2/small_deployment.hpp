#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_connection.hpp"

namespace waxwingvale::review {

// Writes what was sent, answered and run, a line each, with the seconds since
// the record began.
class record {
public:
    explicit record(const std::string& file);
    void note(const std::string& line);

private:
    struct state;
    std::shared_ptr<state> state_;
};

struct served_route {
    std::string prefix; // begins and ends with a slash
    std::string kind;
    std::string service;
};

// One stand-in backend server. It says its load, answers its health path and
// answers 421 to what names another one; the handler answers all else.
class backend {
public:
    // Answers the request; false ends the connection.
    using handler = std::function<bool(backend&, http_connection& on,
                                       const http_message& request)>;

    backend(std::string id, std::string service, handler answer);

    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    std::uint16_t port() const { return port_; }
    // A whole answer, with the echoed id and the signature of that id.
    std::string answer(int status, const std::string& attempt,
                       const std::string& body) const;

private:
    void serve(http_connection& on);

    std::string id_;
    std::string service_;
    handler answer_;
    std::atomic<int> running_{0};
    std::uint16_t port_ = 0;
};

// The signature that a backend server gives with its answer to that attempt.
std::string signature_of(const std::string& attempt);

// The platform's store and the settings of some instances. Instances are
// started by the script, by their settings files.
class small_deployment {
public:
    // Writes FOLDER/node-N.json for each instance.
    small_deployment(std::size_t instances, std::vector<served_route> routes,
                     std::chrono::milliseconds timeout,
                     const std::vector<std::unique_ptr<backend>>& backends,
                     const std::string& folder);

    std::uint16_t caller_port(std::size_t number) const {
        return callers_.at(number);
    }
    std::size_t size() const { return callers_.size(); }
    // Waits until each instance answers a request to each route with 200.
    bool await_ready(const std::vector<served_route>& routes) const;
    // Writes to the store.
    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value; // in base64
        std::uint64_t revision = 0;
    };

    void serve_store(http_connection& on);
    std::string page_after(const std::string& key);
    std::string changes_after(std::uint64_t revision,
                              std::chrono::milliseconds wait);

    std::mutex guard_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 12;
    std::uint16_t store_port_ = 0;
    std::vector<std::uint16_t> callers_;
};

// A name that no other attempt has.
std::string fresh_attempt();

// The request of one client attempt.
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& attempt,
                         std::chrono::milliseconds deadline,
                         const std::string& body);

// What a script is told by its environment and arguments.
struct case_arguments {
    std::string folder; // for settings
    std::string record_file;
    bool trouble = true; // false if TROUBLE is 0
};
case_arguments read_arguments(int argc, char** argv);

// Ends the process, threads and all: 0 held, 1 broken, 2 could not run.
[[noreturn]] void end_case(int code);

} // namespace waxwingvale::review
