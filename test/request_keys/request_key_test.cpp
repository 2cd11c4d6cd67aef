#include <catch2/catch.hpp>

#include <chrono>
#include <sstream>
#include <string>
#include <utility>

#include "standin/explore.hpp"

#include <waxwingvale/decision/request_key.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

// A key without and with the mark of its issue.
std::pair<std::string, std::string> spellings_of(const request_key& key) {
    std::ostringstream holder;
    holder << key.holder.name << '.' << key.holder.incarnation;
    std::ostringstream rest;
    rest << '.' << key.caller << '.' << key.counter;
    std::ostringstream mark;
    mark << '-' << key.issued_s;
    return {holder.str() + rest.str(), holder.str() + mark.str() + rest.str()};
}

} // namespace

TEST_CASE("A key tells its holder, its age and its caller") {
    const auto key = parse_request_key("sea-1.1764705600123456-360.ref-7.12");
    REQUIRE(key);
    REQUIRE(key->holder == member_id{"sea-1", 1764705600123456});
    REQUIRE(key->issued_s == 360);
    REQUIRE(key->caller == "ref-7");
    REQUIRE(key->counter == 12);
    REQUIRE(parse_request_key("sea-1.7.ref-7.12")->issued_s == 0);
}

// A key of another shape must not pass for one that names a holder, or two
// spellings of one key would count as two keys and run twice.
TEST_CASE("Other shapes and second spellings are plain keys") {
    const auto text = GENERATE(
        "", "abc", "7f9c24e8-3b12-4fef-91e0", "sea-1.7.ref", "a.1.b.2.c",
        ".1.b.2", "a.1..2", "a.x.b.2", "a.01.b.2", "a.1.b.02", "a.1.b.+2",
        "a.1-.b.2", "a.1-01.b.2", "a.1-2-3.b.2", "a.-1.b.2", "a.1.b.",
        "a.1.b.2 ", "a.1.b\t.2", "a.99999999999999999999.b.2");
    INFO(text);
    REQUIRE_FALSE(parse_request_key(text));
    REQUIRE_FALSE(parse_request_key("a.1.b.2" + std::string(200, '2')));
}

TEST_CASE("A plain key becomes a named one by a prefix beside it") {
    const auto prefix = key_prefix({"sea-1", 7}, std::chrono::seconds(90));
    REQUIRE(prefix == "sea-1.7-90");
    const auto key = parse_request_key(join_key(prefix, "order.4 \xc3\xa4"));
    REQUIRE(key);
    REQUIRE(key->caller == "order_2e4_20_c3_a4");
}

// Callers send what they like in a header. Nothing of it may end the process,
// and what is taken for a key must be the one spelling of that key.
TEST_CASE("Whatever a caller sends is a key in its one spelling, or plain") {
    const bool held = rc::check("request keys", [](const std::string& text) {
        const auto pieces = *rc::gen::container<std::string>(
            rc::gen::element('.', '-', '0', '1', '9', 'a', '_'));
        for (const auto& candidate : {text, pieces}) {
            const auto key = parse_request_key(candidate);
            if (!key) {
                continue;
            }
            const auto [plain, marked] = spellings_of(*key);
            RC_ASSERT(candidate == plain || candidate == marked);
        }
    });
    REQUIRE(held);
}
