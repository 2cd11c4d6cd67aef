#include <catch2/catch.hpp>

#include "entry/grant_message.hpp"
#include "entry/key_message_codec.hpp"
#include "entry/suspicion_codec.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

TEST_CASE("a scheduler's action arrives as the peer's event") {
    const entry::outgoing_grant_message given{
        "slate-view", decision::give_grant{"pdx-1", 7, "slate-1", 250ms}};
    CHECK(entry::peer_of(given) == "pdx-1");
    const auto taken =
        entry::decode_grant_message("sea-1", entry::encode(given));
    REQUIRE(taken.has_value());
    CHECK(taken.value().service == "slate-view");
    const auto& event = std::get<decision::grant_received>(taken.value().event);
    CHECK(event.peer == "sea-1");
    CHECK(event.grant == 7);
    CHECK(event.lease == 250ms);
}

TEST_CASE("an owner's answer to an ask keeps both of its times") {
    // Without the second time all declined requests would be told to come
    // back at the same moment, and be refused together again.
    decision::answer_ask answer;
    answer.peer = "pdx-1";
    answer.idle = 1;
    answer.declined = 2;
    answer.come_back_in = 30ms;
    answer.come_back_interval = 4ms;
    const auto taken = entry::decode_grant_message(
        "sea-1", entry::encode({"slate-view", answer}));
    REQUIRE(taken.has_value());
    const auto& event = std::get<decision::ask_answered>(taken.value().event);
    CHECK(event.idle == 1);
    CHECK(event.declined == 2);
    CHECK(event.come_back_in == 30ms);
    CHECK(event.come_back_interval == 4ms);
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
    reply.ask_id = 9;
    reply.kind = decision::hand_over_kind::answered;
    reply.answer = answer;
    const auto taken = entry::decode_key_message(entry::encode(reply));
    REQUIRE(taken.has_value());
    const auto& read = std::get<decision::hand_over_reply>(taken.value());
    CHECK(read.kind == decision::hand_over_kind::answered);
    CHECK(*read.answer == *answer);
    CHECK(read.from == reply.from);
    CHECK(read.ask_id == 9);
}

TEST_CASE("word about a crashing request keeps its age") {
    decision::suspicion_word word;
    word.fingerprint.value = 77;
    word.state = decision::suspicion_state::quarantined;
    word.tester = "sea-1";
    word.died = {"slate-1", 3};
    word.age = 12ms;
    const auto taken = entry::decode_suspicions(entry::encode({word}));
    REQUIRE(taken.has_value());
    REQUIRE(taken.value().size() == 1);
    CHECK(taken.value().front().age == 12ms);
    CHECK(taken.value().front().died == word.died);
    CHECK(taken.value().front().state == word.state);
}

TEST_CASE("bytes that are no message are refused") {
    const std::vector<std::uint8_t> bytes = {0xa1, 0x61, 0x78, 0x01};
    const auto code = error_code::malformed;
    CHECK(entry::decode_grant_message("p", bytes).error().code == code);
    CHECK(entry::decode_key_message(bytes).error().code == code);
    CHECK(entry::decode_suspicions(bytes).error().code == code);
    CHECK(entry::decode_suspicions({}).error().code == code);
}
