#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <waxwingvale/decision/key_store.hpp>

namespace request_keys {

// One entry instance of the model.
struct key_node {
    waxwingvale::member_id id;
    waxwingvale::time_point started{};
    std::unique_ptr<waxwingvale::decision::key_store> store;
    // The latest asking, by key.
    std::map<std::string, waxwingvale::decision::hand_over_request> last_asked;

    void start(waxwingvale::time_point now,
               const waxwingvale::decision::key_limits& limits);
};

// A request as the model hands it to a store.
struct model_request {
    std::string key;
    waxwingvale::decision::request_fingerprint body;
    waxwingvale::decision::waiter_id waiter = 0;
};

// What a deliberately broken variant does otherwise. The model goes through
// this object, so that the product has no such switches; the base class breaks
// nothing.
class key_fault {
public:
    using decision = waxwingvale::decision::key_decision;
    using effects = waxwingvale::decision::key_effects;
    using request = waxwingvale::decision::hand_over_request;
    using reply = waxwingvale::decision::hand_over_reply;
    using limits = waxwingvale::decision::key_limits;

    virtual ~key_fault() = default;

    virtual decision on_request(key_node& node, const model_request& of,
                                waxwingvale::time_point now) const;
    virtual effects on_hand_over_request(key_node& node, const request& of,
                                         waxwingvale::time_point now) const;
    virtual effects on_hand_over_reply(key_node& node, const reply& of,
                                       waxwingvale::time_point now) const;
    virtual effects on_hand_over_failed(key_node& node, const std::string& key,
                                        bool gone,
                                        waxwingvale::time_point now) const;
    virtual std::uint64_t next_incarnation(std::uint64_t last) const;
    // Whether an attempt that fell silent is simply sent again.
    virtual bool resends_unknown() const { return false; }

    // Small enough for every limit to be met within a schedule.
    static limits small_limits();
};

} // namespace request_keys
