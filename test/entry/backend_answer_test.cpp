#include <catch2/catch.hpp>

#include "entry/own_protocol.hpp"

#include <waxwingvale/entry/lost_attempt.hpp>

using namespace waxwingvale;
using entry::attempt_end;

namespace {

forwarding::backend_result answered(unsigned status,
                                    io::http_headers headers = {}) {
    return {io::http_response{status, std::move(headers), ""}, true, {}};
}

forwarding::backend_result failed(error_code code, bool sent) {
    return {error{code, "await answer", "127.0.0.1:1", ""}, sent, {}};
}

const entry::own_protocol protocol;

} // namespace

TEST_CASE("only proof makes an attempt \"not run\"") {
    // A backend server's answer gets lost after it booked a referee. Were the
    // caller told "not run", it would book again.
    CHECK(protocol.classify(failed(error_code::unavailable, true)).outcome ==
          run_outcome::unknown);
    CHECK(protocol.classify(failed(error_code::timed_out, true)).end ==
          attempt_end::timed_out);
    CHECK(protocol.classify(failed(error_code::unavailable, false)).outcome ==
          run_outcome::not_run);
    CHECK(protocol.classify(answered(503)).outcome == run_outcome::ran);
    CHECK(protocol.classify(answered(200, {{"Waxwing-Not-Started", "1"}}))
              .outcome == run_outcome::ran);
    CHECK(protocol.classify(answered(503, {{"Waxwing-Not-Started", "1"}}))
              .outcome == run_outcome::not_run);
}

// An instance has used up its part of a server's connections. Taken for the
// server's death, this would be told to all instances, none would use it any
// more, and callers would be refused although it is well.
TEST_CASE("a limit of our own says nothing of the backend server") {
    const auto read =
        protocol.classify(failed(error_code::resource_exhausted, false));
    CHECK(read.end == attempt_end::held_back);
    CHECK(read.outcome == run_outcome::not_run);
    CHECK(protocol.classify(failed(error_code::unavailable, false)).end ==
          attempt_end::not_sent);
}

// A link loses packets, and a connection to a server that is well does not come
// about within a second. Told to all instances as the server's death it would
// end its use for good: in one run with a twentieth of all packets lost, 10 of
// 31 servers were never used again.
TEST_CASE("a connection that did not come in time is no death for all") {
    const auto lost = protocol.classify(failed(error_code::timed_out, false));
    CHECK(lost.end == attempt_end::unreachable);
    CHECK(lost.outcome == run_outcome::not_run);
    CHECK_FALSE(entry::state_for_all(lost));
    const auto refused = protocol.classify(failed(error_code::refused, false));
    CHECK(entry::state_for_all(refused) == backend_state::dead);
    const auto held =
        protocol.classify(failed(error_code::resource_exhausted, false));
    CHECK_FALSE(entry::state_for_all(held));
}

TEST_CASE("a connection that this process could not make is no death for all") {
    // Guards against a full table of descriptors here, or a connection reset
    // before its request was sent, that end a server's use by all instances.
    const auto failed_here =
        protocol.classify(failed(error_code::unavailable, false));
    CHECK(failed_here.end == attempt_end::not_sent);
    CHECK(failed_here.outcome == run_outcome::not_run);
    CHECK_FALSE(entry::state_for_all(failed_here));
}

TEST_CASE("a backend server's word about itself is read") {
    const auto read = protocol.classify(
        answered(200, {{"waxwing-backend-state", "leaving"},
                       {"Waxwing-Backend-Incarnation", "42"}}));
    CHECK(read.state == backend_state::leaving);
    CHECK(read.incarnation == 42);
    CHECK(read.end == attempt_end::answered);
    CHECK_FALSE(protocol.classify(answered(200)).state);
}

// Backend servers refuse requests at random although they have free slots.
// Told to come back in a second, a caller that wants its answer within a
// quarter of one gets it late, while slots stand idle.
TEST_CASE("who was refused by a server with free slots may come back at once") {
    entry::backend_answer refused;
    refused.end = attempt_end::not_started;
    refused.outcome = run_outcome::not_run;
    refused.load = backend_load{2, 0, 6, 1.0};
    CHECK(entry::lost_answer(refused).retry_after ==
          entry::retry_after_refusal);
    refused.load = backend_load{6, 3, 6, 1.0};
    CHECK(entry::lost_answer(refused).retry_after ==
          entry::retry_after_default);
    refused.load.reset();
    CHECK(entry::lost_answer(refused).retry_after ==
          entry::retry_after_default);
}

TEST_CASE("what an attempt shows of a server that names its start") {
    // Guards against a connection that a network resets and that is taken for
    // the end of its server.
    using decision::server_sign;
    const io::http_headers named = {{"Waxwing-Backend-Incarnation", "3"}};
    for (const unsigned status : {200U, 404U, 500U, 503U}) {
        CHECK(protocol.classify(answered(status, named)).sign ==
              server_sign::answered);
        CHECK(protocol.classify(answered(status, named)).named_incarnation ==
              3);
        CHECK(protocol.classify(answered(status)).sign == server_sign::none);
    }
    CHECK(protocol.classify(failed(error_code::unavailable, true)).sign ==
          server_sign::connection_lost);
    CHECK(protocol.classify(failed(error_code::timed_out, true)).sign ==
          server_sign::silent);
    CHECK(protocol.classify(failed(error_code::refused, false)).sign ==
          server_sign::not_listening);
    CHECK(protocol.classify(failed(error_code::unavailable, false)).sign ==
          server_sign::none);
}

// Guards against a caller that sends a booking again, since its server has
// written beside the answer that the request did not run.
TEST_CASE("a server's word of the outcome is not passed on as ours") {
    const auto passed = protocol.pass_on({503,
                                          {{"waxwing-outcome", "not-run"},
                                           {"Waxwing-Reason", "queue-full"},
                                           {"Waxwing-Route", "x"},
                                           {"X-Of-Theirs", "x"}},
                                          ""},
                                         "instance=a");
    CHECK_FALSE(protocol.promises_not_run(passed));
    REQUIRE(passed.headers.size() == 3);
    CHECK(*io::find_header(passed.headers, "Waxwing-Outcome") == "ran");
    CHECK(*io::find_header(passed.headers, "Waxwing-Route") == "instance=a");
    CHECK(io::find_header(passed.headers, "X-Of-Theirs") != nullptr);
    CHECK(protocol.promises_not_run(protocol.render(entry::own_answer{})));
}
