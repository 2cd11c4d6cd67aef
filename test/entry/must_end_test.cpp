#include <catch2/catch.hpp>

#include <waxwingvale/decision/departed_caller.hpp>

using namespace waxwingvale;
using namespace waxwingvale::decision;

TEST_CASE("only a booking that a server has whole outlives its caller") {
    departed_call call;
    call.sent = true;
    CHECK(must_end(call));
    for (bool departed_call::*lacks :
         {&departed_call::sent, &departed_call::body_complete}) {
        auto other = call;
        other.*lacks = false;
        CHECK_FALSE(must_end(other));
    }
    auto read = call;
    read.nature = request_nature::retriable;
    CHECK_FALSE(must_end(read));
}

TEST_CASE("what other copies wait for outlives the caller of the first") {
    departed_call call;
    call.others_wait = true;
    CHECK(must_end(call));
    call.answer_begun = true; // what has gone out reaches nobody else
    CHECK_FALSE(must_end(call));
}
