#include <catch2/catch.hpp>

#include "waxwing_load/load_options.hpp"

using namespace waxwingvale;
using namespace waxwingvale::load;

namespace {

result<load_options> read(std::vector<std::string> words) {
    return read_load_options(
        docopt::docopt_parse(load_usage, words, false, false));
}

} // namespace

TEST_CASE("options are read into values") {
    const auto options =
        read({"--steer=127.0.0.1:81,127.0.0.2:82", "--service=slate-view",
              "--schedule=burst", "--burst-every-ms=250", "--seconds=0.5"});
    REQUIRE(options);
    CHECK(options.value().steers ==
          std::vector<endpoint>{{"127.0.0.1", 81}, {"127.0.0.2", 82}});
    CHECK(options.value().schedule == schedule_kind::burst);
    CHECK(options.value().burst_period == std::chrono::milliseconds(250));
    CHECK(options.value().length == std::chrono::milliseconds(500));
}

TEST_CASE("a bad option is refused by its name") {
    const auto option_blamed = [](const std::string& word) {
        const auto options = read({"--direct=127.0.0.1:81", word});
        return options ? "" : options.error().peer;
    };
    CHECK(option_blamed("--rate=fast") == "--rate");
    CHECK(option_blamed("--rate=nan") == "--rate");
    CHECK(option_blamed("--calls=0") == "--calls");
    CHECK(option_blamed("--calls=99999999") == "--calls");
    CHECK(option_blamed("--seconds=4000") == "--seconds");
    CHECK(option_blamed("--path=games") == "--path");
    CHECK(option_blamed("--schedule=now") == "--schedule");
    CHECK(option_blamed("--write-fraction=2") == "--write-fraction");
    CHECK(read({"--direct=localhost:81"}).error().peer == "--direct");
    CHECK(read({"--direct=127.0.0.1:0"}).error().peer == "--direct");
}

TEST_CASE("addresses off this machine need leave") {
    // A slip in an address sends load to somebody's live servers.
    const auto refused = read({"--direct=192.0.2.1:80"});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == error_code::refused);
    CHECK(read({"--direct=192.0.2.1:80", "--allow-non-loopback"}));
}
