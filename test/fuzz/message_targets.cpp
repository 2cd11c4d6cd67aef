#include "message_targets.hpp"

#include <memory>
#include <variant>
#include <waxwingvale/io/platform_client.hpp>

#include "entry/grant_message.hpp"
#include "entry/key_message_codec.hpp"
#include "entry/suspicion_codec.hpp"
#include "fuzz_target.hpp"
#include "io/exchange_codec.hpp"
#include "io/link_frame.hpp"

using namespace waxwingvale;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{1h};
constexpr duration longest_wait = 24h;

void must_be_a_wait(duration value, const char* what) {
    must_hold(value >= duration::zero() && value <= longest_wait, what);
}

// Decodes, and for what is accepted, that it is sent on as it was taken.
template <typename Decode, typename Encode>
void must_be_stable(const byte_string& bytes, Decode decode, Encode encode) {
    const auto first = decode(bytes);
    if (!first) {
        must_hold(!first.error().step.empty(), "an error names its step");
        return;
    }
    const byte_string sent = encode(first.value());
    const auto second = decode(sent);
    must_hold(second.has_value(), "what was accepted can be sent on");
    must_hold(encode(second.value()) == sent, "and arrives as it was sent");
}

// What a peer's scheduler is given must be such that it can compute with it.
struct event_check {
    void operator()(const decision::slots_asked& e) const {
        for (const auto& each : e.waiting) {
            must_hold(each.time_left >= -longest_wait &&
                          each.time_left <= longest_wait,
                      "a request's time left has a bound");
            const auto target = each.target_left.value_or(0s);
            must_hold(target >= -longest_wait && target <= longest_wait,
                      "a request's target has a bound");
        }
    }
    void operator()(const decision::ask_answered& e) const {
        for (const auto& each : e.declined) {
            must_be_a_wait(each.retry_after, "an appointment is a wait");
        }
    }
    void operator()(const decision::grant_received& e) const {
        must_be_a_wait(e.lease, "a lease is a wait");
    }
    void operator()(const decision::grant_returned& e) const {
        if (!e.use) {
            return;
        }
        must_be_a_wait(e.use->service_time, "a service time is a wait");
        must_hold(!e.use->load || e.use->load->slowness > 0,
                  "a pace can be computed with");
    }
    template <typename Other>
    void operator()(const Other&) const {
        must_hold(false, "a peer sends events about grants only");
    }
};

} // namespace

void run_link_frame(const std::string& input) {
    const auto decode = [](const byte_string& bytes) {
        return io::decode_link_frame(bytes.data(), bytes.size());
    };
    must_be_stable(to_bytes(input), decode, io::encode_link_frame);
}

std::vector<std::string> link_frame_seeds() {
    return {
        to_text(io::encode_link_frame({"hello", 0, {1, 2}, "sea-1", "n"})),
        to_text(io::encode_link_frame({"records", 7, {1, 2, 3}, "", ""})),
    };
}

void run_key_message(const std::string& input) {
    must_be_stable(
        to_bytes(input), entry::decode_key_message,
        [](const decision::key_message& m) { return entry::encode(m); });
}

std::vector<std::string> key_message_seeds() {
    decision::hand_over_request ask;
    ask.from = {"sea-1", 100};
    ask.to = {"pdx-1", 90};
    ask.key = "pdx-1.90-3.phone.1";
    ask.hand_over_id = 5;
    decision::hand_over_reply reply;
    reply.from = ask.to;
    reply.to = ask.from;
    reply.key = ask.key;
    reply.kind = decision::hand_over_kind::answered;
    reply.answer = std::make_shared<const decision::whole_answer>(
        decision::whole_answer{200, {{"A", "b"}}, "body"});
    return {to_text(entry::encode(ask)), to_text(entry::encode(reply))};
}

void run_grant_message(const std::string& input) {
    const auto decoded = entry::decode_grant_message("pdx-1", to_bytes(input));
    if (decoded) {
        std::visit(event_check(), decoded.value().event);
    } else {
        must_hold(decoded.error().peer == "pdx-1", "an error names the peer");
    }
}

std::vector<std::string> grant_message_seeds() {
    decision::ask_slots ask;
    ask.waiting.resize(1);
    ask.waiting[0].time_left = 5ms;
    ask.waiting[0].target_left = -2ms;
    ask.waiting[0].excluded = {"desk-2"};
    ask.withdrawn = {3};
    decision::answer_ask answer;
    answer.declined = {{4, 5ms}};
    decision::give_grant give;
    give.grant = 9;
    give.backend_server = "desk-1";
    give.lease = 2s;
    decision::return_grant back;
    back.grant = 9;
    back.use = decision::grant_use();
    back.use->service_time = 12ms;
    back.use->load = backend_load();
    return {to_text(entry::encode({"desk", ask})),
            to_text(entry::encode({"desk", answer})),
            to_text(entry::encode({"desk", give})),
            to_text(entry::encode({"desk", back}))};
}

void run_suspicion(const std::string& input) {
    const auto bytes = to_bytes(input);
    must_be_stable(bytes, entry::decode_suspicions, [](const auto& message) {
        for (const auto& word : message.words) {
            must_be_a_wait(word.age, "the age of a death is a wait");
        }
        return entry::encode(message);
    });
}

std::vector<std::string> suspicion_seeds() {
    decision::suspicion_update word;
    word.fingerprint.value = 77;
    word.tester = "sea-1";
    word.last_crashed = {"desk-1", 3};
    word.age = 1s;
    word.runs = {
        {{"desk-1", 3}, "sea-1", 9, true, decision::run_verdict::ended, 1s}};
    word.trial_age = 2s;
    return {to_text(entry::encode(
        entry::suspicion_message{{word, word}, {{"sea-2"}, 5, true}, true}))};
}

void run_exchange(const std::string& input) {
    const auto bytes = to_bytes(input);
    for (const std::string kind : io::exchange_kinds) {
        must_be_stable(
            bytes,
            [&](const byte_string& from) {
                return io::decode_exchange(kind, from, now);
            },
            [](const membership::exchange_message& m) {
                return io::encode_exchange(m, now);
            });
    }
}

std::vector<std::string> exchange_seeds() {
    membership::records_message records;
    records.members.resize(1);
    records.members[0].id = {"pdx-1", 90};
    records.beliefs.resize(1);
    records.beliefs[0].since = now - 1s;
    records.registry.resize(2);
    records.registry[0].name = "i-1";
    records.registry[0].stamp.revision = 9;
    records.registry[1].present = false;
    records.registry.push_back(membership::make_evacuation_record("boi", 11));
    records.quarantine.resize(1);
    records.quarantine[0].since = now - 1s;
    membership::records_request request;
    request.members.emplace();
    request.registry.emplace();
    const auto seed = [](const membership::exchange_message& message) {
        return to_text(io::encode_exchange(message, now));
    };
    return {seed(membership::digest_message{}),
            seed(records),
            seed(membership::revision_message{7, 8}),
            seed(membership::configuration_request{}),
            seed(membership::configuration_message{7, membership::pack("{}")}),
            seed(membership::platform_status{"sea-1", 5ms, 7, 8}),
            seed(request)};
}

void run_platform_list(const std::string& input) {
    const auto list = io::parse_platform_list({"instances", input, 4, {}});
    if (!list) {
        must_hold(list.error().peer == "instances", "an error names the value");
        return;
    }
    for (const auto& one : list.value().members) {
        must_hold(one.name.find_first_of("./") == std::string::npos &&
                      !one.name.empty(),
                  "an instance's name can stand in a request key");
    }
}

std::vector<std::string> platform_list_seeds() {
    return {R"({"entry_instances": [
  {"name": "sea-1", "data_centre": "sea", "host": "127.0.0.1",
   "caller_port": 7180, "steer_port": 7181, "control_port": 7102,
   "state": "leaving"}],
 "backend_servers": [{"name": "desk-1", "incarnation": 3, "state": "live"}]})"};
}
