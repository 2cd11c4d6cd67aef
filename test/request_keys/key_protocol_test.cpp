#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "request_keys/key_simulation.hpp"

using namespace waxwingvale;
using namespace waxwingvale::decision;
using request_keys::key_fault;
using request_keys::key_simulation;
using request_keys::model_instance;
using request_keys::model_request;

namespace {

// Variant: the holder hands a key over without recording it, so that it grants
// the key again to the next requester.
class without_tombstone : public key_fault {
    effects on_hand_over_request(model_instance& instance,
                                 const request& received,
                                 time_point now) const override {
        auto result = key_fault::on_hand_over_request(instance, received, now);
        auto& sent = std::get<hand_over_reply>(result.messages.at(0));
        if (sent.kind == hand_over_kind::moved) {
            sent.kind = hand_over_kind::granted;
        }
        return result;
    }
};

// Variant: a full store makes room by removing all its records.
class clears_when_full : public key_fault {
    decision on_request(model_instance& instance, const model_request& sent,
                        time_point now) const override {
        auto result = key_fault::on_request(instance, sent, now);
        if (std::holds_alternative<refuse_full>(result)) {
            instance.store = std::make_unique<key_store>(
                instance.id, instance.started, small_limits());
            result = key_fault::on_request(instance, sent, now);
        }
        return result;
    }
};

// Variant: if the holder is unreachable, the request is assumed not to have run
// and is run here.
class runs_when_unreachable : public key_fault {
    effects on_hand_over_failed(model_instance& instance,
                                const std::string& key, bool gone,
                                time_point now) const override {
        auto result = key_fault::on_hand_over_failed(instance, key, gone, now);
        if (!result.settled.empty()) {
            result.settled[0].decision = run_here{0};
        }
        return result;
    }
};

// Variant: a request that may have run is reported as not run.
class reports_unknown_as_not_run : public key_fault {
    effects on_hand_over_failed(model_instance& instance,
                                const std::string& key, bool gone,
                                time_point now) const override {
        auto result = key_fault::on_hand_over_failed(instance, key, gone, now);
        for (auto& settled : result.settled) {
            settled.decision = report_not_run{};
        }
        return result;
    }
};

// Variant: a reply is accepted for any hand-over request, not only for the one
// with its id.
class without_hand_over_id : public key_fault {
    effects on_hand_over_reply(model_instance& instance, const reply& received,
                               time_point now) const override {
        auto changed = received;
        changed.hand_over_id =
            instance.last_requests[received.key].hand_over_id;
        return key_fault::on_hand_over_reply(instance, changed, now);
    }
};

// Variant: a restarted instance keeps its incarnation although its records are
// lost.
class keeps_incarnation : public key_fault {
    std::uint64_t next_incarnation(std::uint64_t last) const override {
        return last;
    }
};

// Variant: a request whose key has expired is run as if the key were new.
class runs_expired : public key_fault {
    decision on_request(model_instance& instance, const model_request& sent,
                        time_point now) const override {
        const auto result = key_fault::on_request(instance, sent, now);
        return std::holds_alternative<refuse_expired>(result) ? run_here{0}
                                                              : result;
    }
};

// Variant: an attempt without an answer is sent again.
class resends_unknown_attempts : public key_fault {
    bool resends_unknown() const override { return true; }
};

} // namespace

// Guards against requests that run twice (an official is booked twice) and
// against requests that are refused as "not run" although they ran. Callers
// resend through any entry instance while messages between the instances are
// delayed, lost, duplicated and reordered, instances restart, cannot reach each
// other, and their key stores become full.
TEST_CASE("No request with a key runs twice in any explored schedule") {
    const key_fault no_fault;
    request_keys::event_counts counts;
    const auto run = [&](const standin::schedule& steps) {
        return key_simulation(no_fault, &counts).run(steps);
    };
    REQUIRE(standin::explore("request keys", run));
    for (const auto& [event, times] : counts) {
        std::cout << "  " << event << ": " << times << '\n';
    }
    // Every decision and every kind of reply must have occurred. Otherwise the
    // schedules would leave a part of the protocol untested.
    const auto decisions = std::variant_size_v<key_decision>;
    const auto replies = static_cast<std::size_t>(hand_over_kind::expired) + 1;
    const std::size_t without_report_ran = 1; // no answer is too large
    REQUIRE(counts.size() == decisions + replies - without_report_ran);
}

// Each variant violates one rule of the protocol. This test checks that the
// simulation detects every one of them.
TEST_CASE("The simulation detects broken variants of the protocol") {
    struct broken_variant {
        std::string name;
        std::unique_ptr<key_fault> fault;
        std::string violation;
    };
    const std::string twice = "a request ran twice";
    const std::string had_run = "reported as not run although it had run";
    std::vector<broken_variant> variants;
    const auto add = [&](const char* name, std::unique_ptr<key_fault> fault,
                         const std::string& violation) {
        variants.push_back({name, std::move(fault), violation});
    };
    add("without tombstone", std::make_unique<without_tombstone>(), twice);
    add("clears when full", std::make_unique<clears_when_full>(), twice);
    add("runs when unreachable", std::make_unique<runs_when_unreachable>(),
        twice);
    add("reports unknown as not run",
        std::make_unique<reports_unknown_as_not_run>(), had_run);
    add("without hand-over id", std::make_unique<without_hand_over_id>(),
        twice);
    add("keeps incarnation", std::make_unique<keeps_incarnation>(), twice);
    add("runs expired keys", std::make_unique<runs_expired>(), twice);
    add("resends unknown attempts",
        std::make_unique<resends_unknown_attempts>(), twice);
    for (const auto& variant : variants) {
        const auto run = [&](const standin::schedule& steps) {
            return key_simulation(*variant.fault).run(steps);
        };
        INFO(variant.name);
        REQUIRE(standin::caught_after(variant.name, run, variant.violation));
    }
}
