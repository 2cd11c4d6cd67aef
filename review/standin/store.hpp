#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

// A stand-in for the platform's store: items, a revision counter, ranges in one
// page, and watches.
class store {
public:
    explicit store(const std::string& host);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    std::uint16_t port() const { return port_; }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void change(const std::string& key, const std::string& value, bool removed);
    void serve(int descriptor);
    std::string answer(const std::string& target);
    std::string range(const std::string& prefix);
    std::string changes(const std::string& prefix, std::uint64_t after);

    int listener_;
    std::uint16_t port_;
    std::atomic<bool> ended_{false};
    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::thread accepting_;
};

} // namespace review
