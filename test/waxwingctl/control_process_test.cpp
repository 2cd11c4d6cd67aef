#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "ctl_run.hpp"
#include "standin/http_request_once.hpp"
#include "standin/process.hpp"
#include "standin/temporary_folder.hpp"

using namespace waxwingvale;
using namespace waxwingvale::standin;

namespace {

constexpr const char* token = "a-token-of-length";

std::string example(const std::string& name) {
    std::ifstream file(std::string(WAXWING_SOURCE "/examples/") + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

// A platform stand-in and one entry instance that reads it.
class control_with_platform {
public:
    control_with_platform() {
        const nlohmann::json settings = {
            {"settings_version", 2},
            {"instance",
             {{"name", "sea-1"}, {"data_centre", "sea"}, {"host", localhost}}},
            {"platform", {{"host", localhost}, {"port", platform_port_}}},
            {"peers", {{"shared_key", "a-key-for-this-test"}}},
            {"control", {{"admin_token", token}}}};
        const auto file = folder_.write("settings.json", settings.dump());
        control_ = std::make_unique<child_process>(
            "waxwing-node", std::vector<std::string>{"--settings=" + file});
        admin_port_ = control_->read_ready()["ports"]["admin"];
        token_option_ = "--token-file=" + folder_.write("token", token);
        // The documents are there a moment after the ready line, with the
        // first view.
        REQUIRE(wait_until([this] { return query("status").code == 0; }));
    }

    void publish(const std::string& text) const {
        io::http_call call;
        call.port = platform_port_;
        call.method = "PUT";
        call.target = "/control/values/configuration";
        call.body = text;
        const auto ended = http_request_once(call);
        REQUIRE(ended.response.has_value());
    }

    // The first instance's document of a query.
    nlohmann::json ask(const std::string& command) const {
        const auto run = query(command);
        REQUIRE(run.code == 0);
        return nlohmann::json::parse(run.out).at(0).at("document");
    }

    child_process& control() { return *control_; }

private:
    ctl_run query(const std::string& command) const {
        return run_ctl({command, "--json", token_option_,
                        "--admin=" + std::string(localhost) + ":" +
                            std::to_string(admin_port_)});
    }

    static constexpr const char* localhost = "127.0.0.1";

    temporary_folder folder_;
    child_process platform_{"standin-platform", {}};
    std::uint16_t platform_port_ = platform_.read_ready().at("port");
    std::unique_ptr<child_process> control_;
    std::uint16_t admin_port_ = 0;
    std::string token_option_;
};

} // namespace

TEST_CASE("waxwingctl shows what a real entry instance has in force") {
    const control_with_platform running;
    CHECK(running.ask("config")["revision_in_force"] == 0);
    running.publish(example("cooperative.json"));
    REQUIRE(wait_until(
        [&] { return running.ask("config")["revision_in_force"] == 1; }));
    CHECK(running.ask("backends")["backend_servers"].size() == 31);
    CHECK(running.ask("config")["file"] == example("cooperative.json"));
    CHECK(running.ask("owners")["services"].size() == 3);
}

TEST_CASE("a refused file is shown with its field, and changes nothing") {
    // An operator publishes a file with a mistake and does not read the log.
    // The one before stays in force, and every instance says why.
    const control_with_platform running;
    running.publish(example("cooperative.json"));
    REQUIRE(wait_until(
        [&] { return running.ask("config")["revision_in_force"] == 1; }));
    auto broken = example("cooperative.json");
    broken.replace(broken.find("\"owners\": 3"), 11, "\"owners\": 99");
    running.publish(broken);
    REQUIRE(wait_until([&] {
        return !running.ask("status")["configuration"]["refused"].is_null();
    }));
    const auto shown = running.ask("status")["configuration"];
    CHECK(shown["revision_in_force"] == 1);
    CHECK(shown["newest_revision_seen"] == 2);
    CHECK(shown["refused"]["error"]["detail"] ==
          "services[0].owners: expected a whole number from 0 to 64, found 99");
}

TEST_CASE("a program that is told to stop ends with 0") {
    control_with_platform running;
    running.control().signal(SIGTERM);
    CHECK(running.control().wait() == 0);
}

TEST_CASE(
    "a program that is told to stop as soon as it is ready ends in order") {
    // A deployment is rolled out in haste: each process is told to stop the
    // moment it says that it is ready. Ended by the signal itself it would cut
    // whatever it has accepted.
    const temporary_folder folder;
    const nlohmann::json settings = {
        {"settings_version", 2},
        {"instance",
         {{"name", "sea-1"}, {"data_centre", "sea"}, {"host", "127.0.0.1"}}},
        {"platform", {{"host", "127.0.0.1"}, {"port", free_port()}}},
        {"peers", {{"shared_key", "a-key-for-this-test"}}},
        {"control", {{"admin_token", token}}}};
    const auto file = folder.write("settings.json", settings.dump());
    constexpr int starts = 8;
    for (int i = 0; i < starts; ++i) {
        child_process started("waxwing-node", {"--settings=" + file});
        started.read_ready();
        started.signal(SIGTERM);
        CHECK(started.wait() == 0);
    }
}
