#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "platform/directory_answers.hpp"
#include "platform/sample_configuration.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

member instance(const std::string& name, const std::string& data_centre,
                std::uint16_t port) {
    member one;
    one.id.name = name;
    one.data_centre = data_centre;
    one.addresses.host = "127.0.0.1";
    one.addresses.caller_port = port;
    return one;
}

directory_answers sample_directory() {
    program::settings settings;
    settings.deployment = sample_deployment();
    settings.steer.keep = 2500ms;
    return directory_answers(settings);
}

io::http_request asking(const std::string& target) {
    return {"GET", target, {}, "", "127.0.0.1"};
}

constexpr const char* resolve = "/-/resolve?Name=a.example&Region=r&Zone=north";

} // namespace

TEST_CASE("what an instance names that has just started is kept shortly") {
    // All instances were killed, and one that knows only itself and a weak
    // neighbour answers first. Kept as long as usual, its answer holds callers
    // to these two for seconds after the strong ones are back.
    auto directory = sample_directory();
    auto now = std::make_shared<view>();
    now->config = std::make_shared<const configuration>(read_sample());
    now->members = {instance("n1", "north", 81)};
    directory.take(program::with_owners(now));
    steer::asking early;
    early.keep_at_most = 1s;
    const auto answer = directory.answer(asking(resolve), early);
    REQUIRE(answer.status == 200);
    CHECK(nlohmann::json::parse(answer.body).at("Ttl").get<double>() <= 1.0);
}

TEST_CASE(
    "callers get addresses of their data centre and how long to keep them") {
    auto directory = sample_directory();
    auto now = std::make_shared<view>();
    now->config = std::make_shared<const configuration>(read_sample());
    now->members = {instance("n1", "north", 81), instance("s1", "south", 82)};
    directory.take(program::with_owners(now));
    const auto answer = directory.answer(asking(resolve), {});
    REQUIRE(answer.status == 200);
    const auto body = nlohmann::json::parse(answer.body);
    CHECK(body.at("Ttl").get<double>() == Approx(2.5));
    CHECK(body.at("Addresses").at(0) == "127.0.0.1:81");
}

// An instance that has just started knows no configuration. Sent to it, callers
// would be refused; told "none", they ask the next instance.
TEST_CASE("an instance without a configuration names no addresses") {
    auto directory = sample_directory();
    CHECK(directory.answer(asking(resolve), {}).status == 503);
    CHECK(directory.answer(asking("/-/other"), {}).status == 404);
}

TEST_CASE("an instance that knows no other names no addresses") {
    // Named alone by the first instance that is back, it would draw all callers
    // to itself and away from those whose addresses they have.
    auto directory = sample_directory();
    auto now = std::make_shared<view>();
    now->config = std::make_shared<const configuration>(read_sample());
    now->members = {instance("n1", "north", 81)};
    now->members_known = false;
    directory.take(program::with_owners(now));
    CHECK(directory.answer(asking(resolve), {}).status == 503);
}
