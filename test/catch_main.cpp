#define CATCH_CONFIG_RUNNER
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "standin/request_ends.hpp"

namespace {

// A request that an instance read and then left without an answer fails the
// test that started the instance, whatever else it looks at.
int count_instances_doing() {
    using waxwingvale::standin::request_ends;
    const auto lines = request_ends::of_instances().take_instances_doing();
    for (const auto& each : lines) {
        std::cout << "an instance ended a request: " << each << '\n';
    }
    return static_cast<int>(lines.size());
}

} // namespace

// Property tests draw the same cases every run, so that a verdict does not
// change by itself. Another seed is given by RC_PARAMS="seed=N".
int main(int argc, char** argv) {
    constexpr int most = 100; // an exit code holds no more than 255
    constexpr int keep_what_is_given = 0;
    setenv("RC_PARAMS", "seed=20261202", keep_what_is_given);
    const int failed = Catch::Session().run(argc, argv);
    return failed != 0 ? failed : std::min(count_instances_doing(), most);
}
