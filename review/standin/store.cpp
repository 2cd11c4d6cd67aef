#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr std::uint64_t longest_wait_ms = 30000;

std::string base64(const std::string& bytes) {
    constexpr const char* letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t three = 0;
        for (std::size_t i = at; i < at + 3; ++i) {
            const auto byte =
                i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
            three = three << 8U | byte;
        }
        const auto known = std::min<std::size_t>(bytes.size() - at, 3);
        for (std::size_t i = 0; i < 4; ++i) {
            const auto letter = three >> (18U - 6U * i) & 63U;
            text += i <= known ? letters[letter] : '=';
        }
    }
    return text;
}

// The value of a field of the query, percent-decoded.
std::string query_value(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 1;
    const auto text = target.substr(begin, target.find('&', begin) - begin);
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::uint64_t number(const std::string& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
}

bool begins(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store::store(const std::string& host)
    : listener_(listen_on(host, 0)), port_(port_of(listener_)) {
    accepting_ = std::thread([this] {
        while (!ended_) {
            const int descriptor = accept_from(listener_);
            if (descriptor >= 0) {
                std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        }
    });
}

store::~store() {
    ended_ = true;
    changed_.notify_all();
    close_descriptor(listener_);
    accepting_.join();
}

void store::put(const std::string& key, const std::string& value) {
    change(key, value, false);
}

void store::remove(const std::string& key) {
    change(key, "", true);
}

void store::change(const std::string& key, const std::string& value,
                   bool removed) {
    const std::lock_guard<std::mutex> held(lock_);
    items_[key] = {value, ++revision_, removed};
    changed_.notify_all();
}

void store::serve(int descriptor) {
    connection on(descriptor);
    while (const auto asked = on.read(true)) {
        const auto body = answer(asked->target());
        if (ended_ ||
            !on.send(answer_text(
                200, "OK", {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::string store::answer(const std::string& target) {
    const auto prefix = query_value(target, "PathPrefix");
    if (target.find("kv-watch") == std::string::npos) {
        return range(prefix);
    }
    const auto after = number(query_value(target, "after"));
    const auto wait = std::chrono::milliseconds(
        std::min(number(query_value(target, "WaitMs")), longest_wait_ms));
    std::unique_lock<std::mutex> held(lock_);
    changed_.wait_for(held, wait, [&] { return ended_ || revision_ > after; });
    return changes(prefix, after);
}

std::string store::range(const std::string& prefix) {
    const std::lock_guard<std::mutex> held(lock_);
    auto items = json::array();
    for (const auto& [key, each] : items_) {
        if (!each.removed && begins(key, prefix)) {
            items.push_back({{"Key", key},
                             {"Value", base64(each.value)},
                             {"Revision", each.revision},
                             {"Created", each.revision},
                             {"Lease", 0}});
        }
    }
    return json{{"items", items}, {"HasMore", false}, {"AsOf", revision_}}
        .dump();
}

std::string store::changes(const std::string& prefix, std::uint64_t after) {
    auto events = json::array();
    for (const auto& [key, each] : items_) {
        if (each.revision <= after || !begins(key, prefix)) {
            continue;
        }
        json event = {{"Key", key}, {"Revision", each.revision}};
        if (each.removed) {
            event["Tombstone"] = true;
        } else {
            event["Value"] = base64(each.value);
            event["Created"] = each.revision;
            event["Lease"] = 0;
        }
        events.push_back(std::move(event));
    }
    return json{{"events", events}, {"AsOf", revision_}}.dump();
}

} // namespace review
