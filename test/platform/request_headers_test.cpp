#include <catch2/catch.hpp>

#include <waxwingvale/entry/lost_attempt.hpp>

#include "platform/request_headers.hpp"
#include "platform/sample_configuration.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

const request_headers protocol;

io::http_request request(const std::string& target, io::http_headers more) {
    more.push_back({"Host", "a.example"});
    return {"GET", target, std::move(more), "", "127.0.0.1"};
}

forwarding::backend_result answered(unsigned status, io::http_headers headers) {
    forwarding::backend_result ended{
        io::http_response{status, std::move(headers), ""}, true, {}};
    return ended;
}

std::string value_of(const io::http_headers& headers, const char* name) {
    const auto* found = io::find_header(headers, name);
    return found == nullptr ? "" : *found;
}

} // namespace

TEST_CASE("a request waits no longer than its caller and its route allow") {
    const auto config = read_sample();
    const auto with_deadline = [&](const std::string& text) {
        return protocol
            .understand(config, request("/look/1?q=2",
                                        {{"Waxwingvale-Request-Deadline", text},
                                         {"Waxwingvale-Attempt-Id", "c1"}}))
            .value();
    };
    CHECK(with_deadline("300").time_left == 300ms);
    CHECK(with_deadline("3000").time_left == 800ms);
    CHECK(with_deadline("soon").time_left == 800ms);
    CHECK(with_deadline("300").id == "c1");
    CHECK(with_deadline("300").target == "/look/1?q=2");
    CHECK(protocol.understand(config, request("/none", {})).error().code ==
          error_code::not_found);
}

TEST_CASE("a backend server is told what is left and which one is meant") {
    entry::attempt_facts facts;
    facts.request_id = "c1";
    facts.backend_server = "i-7";
    facts.time_left = 250900us;
    const auto headers =
        protocol.backend_headers({{"waxwingvale-request-deadline", "1500"},
                                  {"Waxwingvale-Target-Instance", "i-9"},
                                  {"Waxwingvale-Attempt-Id", "c1"},
                                  {"Accept", "*/*"}},
                                 facts);
    CHECK(headers.size() == 4);
    CHECK(value_of(headers, "Waxwingvale-Request-Deadline") == "250");
    CHECK(value_of(headers, "Waxwingvale-Target-Instance") == "i-7");
    CHECK(value_of(headers, "Waxwingvale-Attempt-Id") == "c1");
    CHECK(value_of(headers, "Accept") == "*/*");
    CHECK(protocol.echo_of(facts)->value == "c1");
}

// A backend server breaks in the middle of a booking, and what answers in its
// place has the status of a success. The caller would believe in a booking
// that nobody has.
TEST_CASE("a success without a signature is not one") {
    const auto spoilt = protocol.classify(answered(200, {}));
    CHECK(spoilt.end == entry::attempt_end::broken);
    CHECK(spoilt.outcome == run_outcome::unknown);
    const auto whole = protocol.classify(
        answered(200, {{"Waxwingvale-Response-Signature", "s"}}));
    CHECK(whole.end == entry::attempt_end::answered);
    CHECK(whole.outcome == run_outcome::ran);
}

// A booking is sent again only where it certainly did not run; whatever else a
// backend server says counts as run.
TEST_CASE("only two answers of a backend server say that it did not run") {
    const io::http_headers not_run = {{"Waxwingvale-Not-Executed", "1"}};
    CHECK(protocol.classify(answered(503, not_run)).outcome ==
          run_outcome::not_run);
    CHECK(protocol.classify(answered(421, {})).outcome == run_outcome::not_run);
    for (const unsigned status : {400U, 500U, 504U}) {
        CHECK(protocol.classify(answered(status, {})).outcome ==
              run_outcome::ran);
    }
}

// Guards against a server's "not run" that callers get though the server has
// not stated it.
TEST_CASE("a status that says not run proves nothing by itself") {
    const io::http_headers bare = {{"Waxwingvale-Response-Signature", "s"}};
    auto proven = bare;
    proven.push_back({"Waxwingvale-Not-Executed", "1"});
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        INFO(status);
        CHECK(protocol.promises_not_run({status, {}, ""}));
        const auto read = protocol.classify(answered(status, bare));
        CHECK(read.end == entry::attempt_end::refused_unproven);
        CHECK(read.outcome == run_outcome::unknown);
        const auto lost = protocol.render(entry::lost_answer(read));
        CHECK(lost.status == 502);
        CHECK_FALSE(protocol.promises_not_run(lost));
        CHECK(protocol.classify(answered(status, proven)).outcome ==
              run_outcome::not_run);
    }
    for (const unsigned status : {200U, 400U, 404U, 500U, 502U, 504U}) {
        CHECK_FALSE(protocol.promises_not_run({status, {}, ""}));
    }
}

TEST_CASE("the load that a backend server tells is read, with its slowness") {
    const auto load_of = [](const std::string& text) {
        return protocol
            .classify(answered(500, {{"Waxwingvale-Server-Load", text}}))
            .load;
    };
    const auto busy = load_of("3,1,8,400");
    REQUIRE(busy);
    CHECK(busy->running == 3);
    CHECK(busy->waiting == 1);
    CHECK(busy->slots == 8);
    CHECK(busy->slowness == Approx(4));
    CHECK(load_of("3,1,8")->slowness == Approx(1));
    CHECK_FALSE(load_of("3"));
    CHECK_FALSE(load_of("full"));
}

TEST_CASE("when to come back is told in seconds, and only what has not run") {
    entry::own_answer refusal;
    refusal.reason = "queue-full";
    refusal.retry_after = 250200us;
    CHECK(value_of(protocol.render(refusal).headers, "Retry-After") == "0.251");
    refusal.outcome = run_outcome::unknown;
    CHECK(value_of(protocol.render(refusal).headers, "Retry-After").empty());
}

TEST_CASE("an answer is passed on as it is, but for what tells the load") {
    const auto passed =
        protocol.pass_on({201,
                          {{"Waxwingvale-Response-Signature", "s"},
                           {"Waxwingvale-Server-Load", "1,0,6"},
                           {"Connection", "keep-alive"},
                           {"X-Of-Theirs", "x"}},
                          "body"},
                         "");
    CHECK(passed.status == 201);
    CHECK(passed.body == "body");
    CHECK(passed.headers.size() == 2);
    CHECK(value_of(passed.headers, "X-Of-Theirs") == "x");
}

// A server has ended and another one has its address. Its health must not
// count for the one that is gone.
TEST_CASE("health counts only for the server that it names") {
    const auto health = [](unsigned status, const std::string& id) {
        return protocol
            .classify_health(
                answered(status, {{"Waxwingvale-Instance-Id", id}}), "i-7")
            .end;
    };
    CHECK(health(200, "i-7") == entry::attempt_end::answered);
    CHECK(health(503, "i-7") == entry::attempt_end::failed);
    CHECK(health(200, "i-8") == entry::attempt_end::misdirected);
}

TEST_CASE("a health answer tells how much longer its server is cold") {
    // Guards against a cold server that gets as much as a warm one, and against
    // odd word that makes it warm or cold for good.
    const auto cold = [](const std::string& left, const std::string& id) {
        return protocol
            .classify_health(
                answered(200, {{"Waxwingvale-Instance-Id", id},
                               {"Waxwingvale-Cold-Remaining", left}}),
                "i-7")
            .cold_for;
    };
    CHECK(cold("1500", "i-7") == 1500ms);
    CHECK(cold("0", "i-7") == 0ms);
    CHECK(cold("2.5", "i-7") == 2500us);
    for (const auto* odd :
         {"", "-1", "soon", "1500ms", "1e300", "nan", "inf", "3 4"}) {
        CHECK_FALSE(cold(odd, "i-7").has_value());
    }
    CHECK_FALSE(cold("1500", "i-8").has_value());
}

TEST_CASE("a limit is read from every answer of the server that names it") {
    // Guards against a limit that goes unheard since its answer was a failure,
    // a refusal, cut short or of a health check.
    const io::http_headers named = {{"Server-Limit", "2.5"}};
    for (const unsigned status : {200U, 404U, 429U, 500U, 503U}) {
        const auto read = protocol.classify(answered(status, named));
        REQUIRE(read.terms);
        CHECK(read.terms->requests_per_second == 2.5);
    }
    const auto health =
        protocol.classify_health(answered(503, named), "i-7").terms;
    REQUIRE(health);
    CHECK(health->requests_per_second == 2.5);
    forwarding::backend_result cut{
        error{error_code::malformed, "await answer", "i-7", "cut short"}, true,
        io::http_response{200, named, ""}};
    REQUIRE(protocol.classify(cut).terms);
    CHECK(protocol.classify(cut).terms->requests_per_second == 2.5);
}

TEST_CASE("only an answer of that server ends its limit") {
    // Guards against a limit that ends by the answer of another server at the
    // same address, by a lost answer or by a header that makes no sense.
    const auto ended = protocol.classify(answered(200, {})).terms;
    REQUIRE(ended);
    CHECK_FALSE(ended->requests_per_second);
    CHECK_FALSE(protocol.classify(answered(421, {})).terms);
    CHECK_FALSE(
        protocol
            .classify_health(
                answered(200, {{"Waxwingvale-Instance-Id", "i-8"}}), "i-7")
            .terms);
    forwarding::backend_result lost{
        error{error_code::unavailable, "await answer", "i-7", "ended"},
        true,
        {}};
    CHECK_FALSE(protocol.classify(lost).terms);
    for (const auto* text : {"", "-1", "nan", "inf", "2 a second"}) {
        CHECK_FALSE(
            protocol.classify(answered(200, {{"Server-Limit", text}})).terms);
    }
}

TEST_CASE("every answer of a server that leaves tells that it does") {
    // Guards against a server that gets requests until the platform's store
    // tells that it leaves, which may be down.
    const io::http_headers says_so = {{"Server-Leaving", "1"}};
    for (const unsigned status : {200U, 404U, 429U, 500U, 503U}) {
        CHECK(protocol.classify(answered(status, says_so)).terms->leaving);
    }
    CHECK(
        protocol.classify_health(answered(503, says_so), "i-7").terms->leaving);
    const forwarding::backend_result cut{
        error{error_code::malformed, "await answer", "i-7", "cut short"}, true,
        io::http_response{200, says_so, ""}};
    CHECK(protocol.classify(cut).terms->leaving);
    CHECK_FALSE(protocol.classify(answered(421, says_so)).terms);
    CHECK_FALSE(protocol.classify(answered(200, {})).terms->leaving);
    CHECK_FALSE(protocol.classify(answered(200, {{"Server-Leaving", "0"}}))
                    .terms->leaving);
}

TEST_CASE("a server that turns a request away tells how long it wants rest") {
    // Guards against a server that is asked again at once.
    const auto rest_of = [](unsigned status, const std::string& text) {
        return protocol
            .classify(answered(status, {{"Waxwingvale-Not-Executed", "1"},
                                        {"Retry-After", text}}))
            .terms->rest;
    };
    CHECK(rest_of(503, "3") == 3s);
    CHECK(rest_of(503, "0.25") == 250ms);
    CHECK_FALSE(rest_of(429, "3"));
    for (const auto* odd : {"", "-1", "soon", "nan", "inf", "1e300"}) {
        CHECK_FALSE(rest_of(503, odd));
    }
    CHECK(protocol.classify_health(answered(503, {{"Retry-After", "3"}}), "i-7")
              .terms->rest == 3s);
    CHECK_FALSE(protocol.classify(answered(421, {{"Retry-After", "3"}})).terms);
}

TEST_CASE("what an attempt shows of its server's process") {
    // Guards against a living server that is taken for ended, and against an
    // end that goes unnoticed.
    using decision::server_sign;
    const auto signed_by_it =
        io::http_headers{{"Waxwingvale-Response-Signature", "s"}};
    for (const unsigned status : {200U, 404U, 429U, 500U, 503U}) {
        CHECK(protocol.classify(answered(status, signed_by_it)).sign ==
              server_sign::answered);
    }
    CHECK(protocol.classify(answered(200, {})).sign == server_sign::none);
    CHECK(protocol.classify(answered(421, {})).sign == server_sign::replaced);
    const auto without_answer = [](error_code code, bool sent) {
        return protocol
            .classify({error{code, "await answer", "i-7", ""}, sent, {}})
            .sign;
    };
    CHECK(without_answer(error_code::unavailable, true) ==
          server_sign::connection_lost);
    CHECK(without_answer(error_code::timed_out, true) == server_sign::silent);
    CHECK(without_answer(error_code::malformed, true) == server_sign::none);
    CHECK(without_answer(error_code::refused, false) ==
          server_sign::not_listening);
    CHECK(without_answer(error_code::timed_out, false) == server_sign::silent);
    CHECK(without_answer(error_code::unavailable, false) == server_sign::none);
    CHECK(without_answer(error_code::resource_exhausted, false) ==
          server_sign::none);
    const auto health_of = [](const char* id) {
        return protocol
            .classify_health(answered(503, {{"Waxwingvale-Instance-Id", id}}),
                             "i-7")
            .sign;
    };
    CHECK(health_of("i-7") == server_sign::answered);
    CHECK(health_of("i-8") == server_sign::replaced);
    CHECK(protocol.classify_health(answered(200, {}), "i-7").sign ==
          server_sign::none);
}

TEST_CASE("what differs between the attempts of a caller is known") {
    // Guards against copies that look like requests never seen before, and
    // against callers that are taken for one another.
    CHECK(protocol.is_of_one_attempt("Waxwingvale-Attempt-Id"));
    CHECK(protocol.is_of_one_attempt("waxwingvale-request-deadline"));
    CHECK(protocol.is_of_one_attempt("Waxwingvale-Target-Instance"));
    CHECK_FALSE(protocol.is_of_one_attempt("Authorization"));
    CHECK_FALSE(protocol.is_of_one_attempt("Waxwingvale-Account"));
    const auto config = read_sample();
    const auto authority_by = [&](const std::string& host) {
        return protocol
            .understand(config,
                        {"GET", "/look/1", {{"Host", host}}, "", "127.0.0.1"})
            .value()
            .authority;
    };
    CHECK(authority_by("a.example") == "a.example");
    CHECK(authority_by("A.Example:8381") == "a.example");
}
