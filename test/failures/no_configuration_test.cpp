#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "standin/http_request_once.hpp"
#include "standin/process.hpp"
#include "standin/temporary_folder.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;
using nlohmann::json;

namespace {

// An instance that reaches no platform and has no peers.
json settings_of_one_alone() {
    return {
        {"settings_version", 2},
        {"instance",
         {{"name", "sea-1"}, {"data_centre", "sea"}, {"host", "127.0.0.1"}}},
        {"platform", {{"host", "127.0.0.1"}, {"port", free_port()}}},
        {"peers", {{"shared_key", "a key for tests only, 32 bytes.."}}},
        {"entry", {{"caller_port", 0}}},
        {"steer", {{"steer_port", 0}}},
        {"control", {{"control_port", 0}, {"administration", false}}}};
}

// What such an instance answers a request with so many bytes of headers.
io::http_response answer_to(std::size_t header_bytes) {
    const temporary_folder folder;
    const auto file =
        folder.write("sea-1.json", settings_of_one_alone().dump());
    child_process alone("waxwing-platform-node", {"--settings=" + file});
    io::http_call call;
    call.port =
        alone.read_ready().at("ports").at("callers").get<std::uint16_t>();
    call.headers = {{"X-Long", std::string(header_bytes, 'x')}};
    return http_request_once(std::move(call)).response.value();
}

} // namespace

TEST_CASE("an instance without a configuration says when to come back") {
    // Guards against a refusal that callers take for final.
    const auto answer = answer_to(10);
    CHECK(answer.status == 503);
    CHECK(io::find_header(answer.headers, "Retry-After") != nullptr);
}

TEST_CASE("without a configuration nothing is too large for good") {
    // Guards against a final refusal by limits that no operator has set: the
    // file that is on its way may allow more.
    const auto answer = answer_to(40'000);
    CHECK(answer.status == 503);
    CHECK(io::find_header(answer.headers, "Retry-After") != nullptr);
}
