#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <waxwingvale/decision/key_store.hpp>

namespace request_keys {

// An entry instance of the simulation.
struct model_instance {
    waxwingvale::member_id id;
    waxwingvale::time_point started{};
    std::unique_ptr<waxwingvale::decision::key_store> store;
    // The latest hand-over request, by key.
    std::map<std::string, waxwingvale::decision::hand_over_request>
        last_requests;

    void start(waxwingvale::time_point now,
               const waxwingvale::decision::key_limits& limits);
};

// A request that the simulation passes to a store.
struct model_request {
    std::string key;
    waxwingvale::decision::request_fingerprint body;
    waxwingvale::decision::waiter_id waiter = 0;
};

// The calls from the simulation to a store. A derived class overrides some of
// them to act as a deliberately broken store, so that the production code needs
// no switches for this. The base class passes all calls on unchanged.
class key_fault {
public:
    using decision = waxwingvale::decision::key_decision;
    using effects = waxwingvale::decision::key_effects;
    using request = waxwingvale::decision::hand_over_request;
    using reply = waxwingvale::decision::hand_over_reply;
    using limits = waxwingvale::decision::key_limits;

    virtual ~key_fault() = default;

    virtual decision on_request(model_instance& instance,
                                const model_request& sent,
                                waxwingvale::time_point now) const;
    virtual effects on_hand_over_request(model_instance& instance,
                                         const request& received,
                                         waxwingvale::time_point now) const;
    virtual effects on_hand_over_reply(model_instance& instance,
                                       const reply& received,
                                       waxwingvale::time_point now) const;
    virtual effects on_hand_over_failed(model_instance& instance,
                                        const std::string& key, bool gone,
                                        waxwingvale::time_point now) const;
    virtual std::uint64_t next_incarnation(std::uint64_t last) const;
    // Whether an attempt without an answer is sent again.
    virtual bool resends_unknown() const { return false; }

    // Limits small enough for every one to be reached within a schedule.
    static limits small_limits();
};

} // namespace request_keys
