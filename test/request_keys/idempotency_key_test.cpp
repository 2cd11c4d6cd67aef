#include <catch2/catch.hpp>

#include <chrono>
#include <sstream>
#include <string>
#include <utility>

#include "standin/explore.hpp"

#include <waxwingvale/decision/idempotency_key.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// Returns the spellings of a key without and with its issue time.
std::pair<std::string, std::string> spellings_of(const idempotency_key& key) {
    std::ostringstream holder;
    holder << key.holder.name << '.' << key.holder.incarnation;
    std::ostringstream rest;
    rest << '.' << key.caller << '.' << key.counter;
    std::ostringstream issued;
    issued << '-' << key.issued_s;
    return {holder.str() + rest.str(),
            holder.str() + issued.str() + rest.str()};
}

} // namespace

TEST_CASE("A key contains its holder, issue time, caller and counter") {
    const auto key =
        parse_idempotency_key("sea-1.1764705600123456-360.ref-7.12");
    REQUIRE(key);
    REQUIRE(key->holder == member_id{"sea-1", 1764705600123456});
    REQUIRE(key->issued_s == 360);
    REQUIRE(key->caller == "ref-7");
    REQUIRE(key->counter == 12);
    REQUIRE(parse_idempotency_key("sea-1.7.ref-7.12")->issued_s == 0);
}

// Guards against a request that runs twice because two spellings of its key
// count as two keys. Text of any other form must not be accepted as a key that
// names its holder.
TEST_CASE("Other forms and alternative spellings are plain keys") {
    const auto text = GENERATE(
        "", "abc", "7f9c24e8-3b12-4fef-91e0", "sea-1.7.ref", "a.1.b.2.c",
        ".1.b.2", "a.1..2", "a.x.b.2", "a.01.b.2", "a.1.b.02", "a.1.b.+2",
        "a.1-.b.2", "a.1-01.b.2", "a.1-2-3.b.2", "a.-1.b.2", "a.1.b.",
        "a.1.b.2 ", "a.1.b\t.2", "a.99999999999999999999.b.2");
    INFO(text);
    REQUIRE_FALSE(parse_idempotency_key(text));
    REQUIRE_FALSE(parse_idempotency_key("a.1.b.2" + std::string(200, '2')));
}

TEST_CASE("A plain key and a prefix form a key that names its holder") {
    const auto prefix = key_prefix({"sea-1", 7}, std::chrono::seconds(90));
    REQUIRE(prefix == "sea-1.7-90");
    const auto key =
        parse_idempotency_key(prefixed_key(prefix, "order.4 \xc3\xa4"));
    REQUIRE(key);
    REQUIRE(key->caller == "order_2e4_20_c3_a4");
}

// Guards against crashes and ambiguous keys: callers may send any text in the
// header. No text may end the process, and accepted text must be the only
// spelling of its key.
TEST_CASE("Any text is either a key in its only spelling or a plain key") {
    const bool held = rc::check("request keys", [](const std::string& text) {
        const auto key_like = *rc::gen::container<std::string>(
            rc::gen::element('.', '-', '0', '1', '9', 'a', '_'));
        for (const auto& candidate : {text, key_like}) {
            const auto key = parse_idempotency_key(candidate);
            if (!key) {
                continue;
            }
            const auto [without_issue, with_issue] = spellings_of(*key);
            RC_ASSERT(candidate == without_issue || candidate == with_issue);
        }
    });
    REQUIRE(held);
}
