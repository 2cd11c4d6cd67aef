#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "request_keys/key_world.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using request_keys::key_fault;
using request_keys::key_node;
using request_keys::key_world;
using request_keys::model_request;

namespace {

// The holder hands a key over without recording it.
class without_tombstone : public key_fault {
    effects on_hand_over_request(key_node& node, const request& of,
                                 time_point now) const override {
        auto made = key_fault::on_hand_over_request(node, of, now);
        auto& sent = std::get<hand_over_reply>(made.messages.at(0));
        if (sent.kind == hand_over_kind::moved) {
            sent.kind = hand_over_kind::granted;
        }
        return made;
    }
};

// A full store makes room by forgetting.
class forgets_when_full : public key_fault {
    decision on_request(key_node& node, const model_request& of,
                        time_point now) const override {
        auto made = key_fault::on_request(node, of, now);
        if (std::holds_alternative<refuse_full>(made)) {
            node.store = std::make_unique<key_store>(node.id, node.started,
                                                     small_limits());
            made = key_fault::on_request(node, of, now);
        }
        return made;
    }
};

// A holder out of reach is taken for one that never ran the key.
class runs_when_unreachable : public key_fault {
    effects on_hand_over_failed(key_node& node, const std::string& key,
                                bool gone, time_point now) const override {
        auto made = key_fault::on_hand_over_failed(node, key, gone, now);
        if (!made.settled.empty()) {
            made.settled[0].decision = run_here{0};
        }
        return made;
    }
};

// A copy that may have run is reported as not run.
class unknown_as_not_run : public key_fault {
    effects on_hand_over_failed(key_node& node, const std::string& key,
                                bool gone, time_point now) const override {
        auto made = key_fault::on_hand_over_failed(node, key, gone, now);
        for (auto& settled : made.settled) {
            settled.decision = report_not_run{};
        }
        return made;
    }
};

// A reply counts for whatever is being asked, not only for its own asking.
class without_ask_id : public key_fault {
    effects on_hand_over_reply(key_node& node, const reply& of,
                               time_point now) const override {
        auto relabelled = of;
        relabelled.ask_id = node.last_asked[of.key].ask_id;
        return key_fault::on_hand_over_reply(node, relabelled, now);
    }
};

// A restarted instance passes for the one whose memory was lost.
class keeps_incarnation : public key_fault {
    std::uint64_t next_incarnation(std::uint64_t last) const override {
        return last;
    }
};

// A key older than the memory is run as if it were new.
class runs_expired : public key_fault {
    decision on_request(key_node& node, const model_request& of,
                        time_point now) const override {
        const auto made = key_fault::on_request(node, of, now);
        return std::holds_alternative<refuse_expired>(made) ? run_here{0}
                                                            : made;
    }
};

// An attempt that fell silent is sent again.
class resends_unknown_attempts : public key_fault {
    bool resends_unknown() const override { return true; }
};

} // namespace

// Callers resend through any entry instance while messages between the entry
// instances are late, lost, doubled or out of order, while instances restart,
// lose each other and fill up. A user would notice an official booked twice,
// or a booking that was refused as "not run" and is there all the same.
TEST_CASE("No key runs twice in any explored schedule") {
    const key_fault none;
    request_keys::reached_events reached;
    const auto run = [&](const standin::schedule& steps) {
        return key_world(none, &reached).run(steps);
    };
    REQUIRE(standin::explore("request keys", run));
    for (const auto& [event, times] : reached) {
        std::cout << "  " << event << ": " << times << '\n';
    }
    // Schedules that never got somewhere would prove nothing about it.
    const auto decisions = std::variant_size_v<key_decision>;
    const auto replies = static_cast<std::size_t>(hand_over_kind::expired) + 1;
    const std::size_t without_report_ran = 1; // the model's answers are small
    REQUIRE(reached.size() == decisions + replies - without_report_ran);
}

// Each variant leaves out one rule of the protocol. If the model passed one of
// them, its verdict on the real protocol would be worth nothing.
TEST_CASE("The model catches broken variants of the protocol") {
    struct variant {
        std::string name;
        std::unique_ptr<key_fault> fault;
        std::string promise;
    };
    const std::string twice = "a key ran twice";
    const std::string had_run = "told not run, but it had run";
    std::vector<variant> variants;
    const auto add = [&](const char* name, std::unique_ptr<key_fault> fault,
                         const std::string& promise) {
        variants.push_back({name, std::move(fault), promise});
    };
    add("without tombstone", std::make_unique<without_tombstone>(), twice);
    add("forgets when full", std::make_unique<forgets_when_full>(), twice);
    add("runs unreachable", std::make_unique<runs_when_unreachable>(), twice);
    add("unknown as not run", std::make_unique<unknown_as_not_run>(), had_run);
    add("without ask id", std::make_unique<without_ask_id>(), twice);
    add("keeps incarnation", std::make_unique<keeps_incarnation>(), twice);
    add("runs expired keys", std::make_unique<runs_expired>(), twice);
    add("resends silent", std::make_unique<resends_unknown_attempts>(), twice);
    for (const auto& of : variants) {
        const auto run = [&](const standin::schedule& steps) {
            return key_world(*of.fault).run(steps);
        };
        INFO(of.name);
        REQUIRE(standin::caught_after(of.name, run, of.promise));
    }
}
