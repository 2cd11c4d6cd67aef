#include <catch2/catch.hpp>

#include "entry/grant_message.hpp"
#include "entry/key_message_codec.hpp"
#include "entry/suspicion_codec.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

TEST_CASE("a scheduler's action arrives as the peer's event") {
    const entry::outgoing_grant_message given{
        "slate-view",
        decision::give_grant{"pdx-1", 7, 3, "slate-1", 250ms, 40ms}};
    CHECK(entry::peer_of(given) == "pdx-1");
    const auto taken =
        entry::decode_grant_message("sea-1", entry::encode(given));
    REQUIRE(taken.has_value());
    CHECK(taken.value().service == "slate-view");
    const auto& event = std::get<decision::grant_received>(taken.value().event);
    CHECK(event.peer == "sea-1");
    CHECK(event.grant == 7);
    CHECK(event.request == 3);
    CHECK(event.lease == 250ms);
    CHECK(event.slow_after == 40ms);
}

TEST_CASE("what a peer waits for arrives whole at the owner") {
    decision::ask_slots ask;
    ask.peer = "pdx-1";
    ask.withdrawn = {4, 5};
    ask.complete = true;
    ask.answer_required = true;
    ask.waiting.resize(2);
    ask.waiting[0].request = 8;
    ask.waiting[0].tenant = "league";
    ask.waiting[0].request_class = "look";
    ask.waiting[0].nature = request_nature::retriable;
    ask.waiting[0].time_left = 900ms;
    ask.waiting[0].target_left = -5ms;
    ask.waiting[0].priority = 2;
    ask.waiting[1].attempt = 2;
    ask.waiting[1].excluded = {"slate-1"};
    ask.waiting[1].isolated = true;
    ask.waiting[1].only_if_spare = true;
    const auto taken = entry::decode_grant_message(
        "sea-1", entry::encode({"slate-view", ask}));
    REQUIRE(taken.has_value());
    const auto& event = std::get<decision::slots_asked>(taken.value().event);
    CHECK(event.peer == "sea-1");
    CHECK(event.waiting == ask.waiting);
    CHECK(event.withdrawn == ask.withdrawn);
    CHECK(event.complete);
    CHECK(event.answer_required);
}

TEST_CASE("an owner's answer keeps the moment of each declined request") {
    // With one moment for all, the declined requests would come back together
    // and be refused together again.
    decision::answer_ask answer;
    answer.peer = "pdx-1";
    answer.idle = 1;
    answer.declined = {{7, 30ms}, {8, 34ms}};
    const auto taken = entry::decode_grant_message(
        "sea-1", entry::encode({"slate-view", answer}));
    REQUIRE(taken.has_value());
    const auto& event = std::get<decision::ask_answered>(taken.value().event);
    CHECK(event.idle == 1);
    CHECK(event.is_owner);
    CHECK(event.declined == answer.declined);
}

TEST_CASE("how a granted slot was used arrives whole, load included") {
    decision::return_grant back;
    back.peer = "pdx-1";
    back.grant = 7;
    back.use = decision::grant_use{decision::attempt_verdict::failed, 12ms,
                                   backend_load{1, 2, 6, 4.0}, 1500};
    const auto taken = entry::decode_grant_message(
        "sea-1", entry::encode({"slate-view", back}));
    REQUIRE(taken.has_value());
    const auto& event = std::get<decision::grant_returned>(taken.value().event);
    CHECK(event.use == back.use);
}

TEST_CASE("an owner hears that the time of a granted request is unknown") {
    // Guards against an owner that takes it for the time of its server.
    decision::return_grant back;
    back.peer = "pdx-1";
    back.use = decision::grant_use();
    back.use->time_known = false;
    const auto taken = entry::decode_grant_message(
        "sea-1", entry::encode({"slate-view", back}));
    REQUIRE(taken.has_value());
    const auto& event = std::get<decision::grant_returned>(taken.value().event);
    CHECK_FALSE(event.use->time_known);
}

TEST_CASE("the terms that a borrower was told reach the owner of the slot") {
    // Guards against an owner that lends on what it does not know to be
    // limited, and against a limit that ends since an answer was lost.
    const auto arrived = [](std::optional<backend_terms> told) {
        decision::return_grant back;
        back.peer = "pdx-1";
        back.use = decision::grant_use();
        back.use->terms = told;
        const auto taken = entry::decode_grant_message(
            "sea-1", entry::encode({"slate-view", back}));
        REQUIRE(taken.has_value());
        return std::get<decision::grant_returned>(taken.value().event)
            .use->terms;
    };
    backend_terms limited;
    limited.requests_per_second = 2.5;
    CHECK(arrived(limited) == limited);
    backend_terms leaving;
    leaving.leaving = true;
    CHECK(arrived(leaving) == leaving);
    backend_terms tired;
    tired.rest = 3s;
    CHECK(arrived(tired) == tired);
    CHECK(arrived(backend_terms()) == backend_terms());
    CHECK_FALSE(arrived(std::nullopt));
}

TEST_CASE("a key's whole answer survives the way between instances") {
    auto answer = std::make_shared<decision::whole_answer>();
    answer->status = 201;
    answer->headers = {{"X-A", "b"}};
    answer->body = std::string("zero\0\xff", 6);
    decision::hand_over_reply reply;
    reply.from = {"sea-1", 5};
    reply.to = {"pdx-1", 6};
    reply.key = "sea-1.5.phone.1";
    reply.hand_over_id = 9;
    reply.kind = decision::hand_over_kind::answered;
    reply.answer = answer;
    const auto taken = entry::decode_key_message(entry::encode(reply));
    REQUIRE(taken.has_value());
    const auto& read = std::get<decision::hand_over_reply>(taken.value());
    CHECK(read.kind == decision::hand_over_kind::answered);
    CHECK(*read.answer == *answer);
    CHECK(read.from == reply.from);
    CHECK(read.hand_over_id == 9);
}

TEST_CASE("word about a crashing request keeps its age") {
    decision::suspicion_update word;
    word.fingerprint.value = 77;
    word.state = decision::suspicion_state::quarantined;
    word.tester = "sea-1";
    word.last_crashed = {"slate-1", 3};
    word.age = 12ms;
    decision::told_run lost;
    lost.process = {"slate-1", 3};
    lost.seen_by = "sea-1";
    lost.number = 9;
    lost.alone = true;
    lost.verdict = decision::run_verdict::ended;
    lost.age = 15ms;
    lost.variant = 42;
    word.runs = {lost};

    word.trial_age = 30ms;
    const entry::suspicion_message sent{{word}, {{"spk-1"}, 77, true}, true};
    const auto taken = entry::decode_suspicions(entry::encode(sent));
    REQUIRE(taken.has_value());
    CHECK(taken.value().reach == sent.reach);
    CHECK(taken.value().asks);
    const auto& words = taken.value().words;
    REQUIRE(words.size() == 1);
    CHECK(words.front().age == 12ms);
    CHECK(words.front().last_crashed == word.last_crashed);
    CHECK(words.front().state == word.state);

    CHECK(words.front().trial_age == word.trial_age);
    const auto& runs = words.front().runs;
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].process == word.runs[0].process);
    CHECK(runs[0].alone);
    CHECK(runs[0].seen_by == "sea-1");
    CHECK(runs[0].number == 9);
    CHECK(runs[0].verdict == decision::run_verdict::ended);
    CHECK(runs[0].age == 15ms);
    CHECK(runs[0].variant == 42);
}

TEST_CASE("bytes that are no message are refused") {
    const std::vector<std::uint8_t> bytes = {0xa1, 0x61, 0x78, 0x01};
    const auto code = error_code::malformed;
    CHECK(entry::decode_grant_message("p", bytes).error().code == code);
    CHECK(entry::decode_key_message(bytes).error().code == code);
    CHECK(entry::decode_suspicions(bytes).error().code == code);
    CHECK(entry::decode_suspicions({}).error().code == code);
}
