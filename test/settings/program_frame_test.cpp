#include <catch2/catch.hpp>
#include <waxwingvale/program/program_frame.hpp>

using namespace waxwingvale::program;

TEST_CASE("the ready line names the program and its ports") {
    CHECK(ready_line("waxwing-node", {{"callers", 1234}, {"peers", 5}}) ==
          R"({"ready":true,"program":"waxwing-node",)"
          R"("ports":{"callers":1234,"peers":5}})");
}
