#include "expected_output.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>

void check_expected(const std::string& name, const std::string& output) {
    const auto path = std::string(WAXWING_TEST_DATA "/") + name + ".expected";
    if (std::getenv("WAXWING_WRITE_EXPECTED") != nullptr) {
        std::ofstream(path) << output;
        return;
    }
    std::ifstream file(path);
    REQUIRE(file.good());
    const std::string expected(std::istreambuf_iterator<char>(file), {});
    INFO("expected output: " << path);
    CHECK(output == expected);
}
