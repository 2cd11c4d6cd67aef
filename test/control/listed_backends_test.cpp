#include <catch2/catch.hpp>

#include "control/listed_backends.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

const time_point start{};

std::vector<membership::registry_record> part_of(std::size_t count) {
    return std::vector<membership::registry_record>(count);
}

} // namespace

// Guards against views with but some of the backend servers, which would get
// the requests of all.
TEST_CASE("an ordinary list is taken at its end") {
    control::listed_backends list;
    list.begin(start);
    CHECK(list.add(part_of(500), false, start + 50ms).empty());
    CHECK(list.add(part_of(161), true, start + 90ms).size() == 661);
    list.begin(start + 1s);
    CHECK(list.add(part_of(10), false, start + 1s).empty());
    list.begin(start + 2s);
    CHECK(list.add(part_of(20), true, start + 2s).size() == 20);
}

// Guards against a leaving server that is used for as long as a list takes.
TEST_CASE("a list that takes long is taken as it comes") {
    control::listed_backends list;
    list.begin(start);
    CHECK(list.add(part_of(10), false, start + 199ms).empty());
    CHECK(list.add(part_of(10), false, start + 200ms).size() == 20);
    CHECK(list.add(part_of(10), false, start + 201ms).size() == 10);
    list.begin(start + 1s);
    CHECK(list.add(part_of(2049), false, start + 1s).size() == 2049);
}
