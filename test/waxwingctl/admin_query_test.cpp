#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>
#include <waxwingvale/administration/admin_api.hpp>

#include "administration/sample_snapshot.hpp"
#include "ctl_run.hpp"
#include "expected_output.hpp"

using namespace waxwingvale;

namespace {

constexpr const char* token = "a-token-of-length";

// An administration API on a thread of its own, as one entry instance.
class running_admin {
public:
    running_admin() {
        settings_.admin_host = "127.0.0.1";
        settings_.admin_token = token;
        server_ = std::make_unique<administration::admin_server>(
            loop_, settings_, metrics_, sample_snapshot);
        REQUIRE(server_->start());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~running_admin() {
        loop_.post([this] { loop_.stop(); });
        thread_.join();
    }
    running_admin(const running_admin&) = delete;
    running_admin& operator=(const running_admin&) = delete;

    std::string address() const {
        return "127.0.0.1:" + std::to_string(server_->port());
    }

private:
    program::control_settings settings_;
    program::metrics metrics_;
    kernel::event_loop loop_;
    std::unique_ptr<administration::admin_server> server_;
    std::thread thread_;
};

// A token file of this process's own, gone when the test ends.
class token_file {
public:
    explicit token_file(const std::string& text)
        : path_(std::filesystem::temp_directory_path() /
                ("waxwingctl-token-" + std::to_string(getpid()))) {
        std::ofstream(path_) << text << '\n';
    }
    ~token_file() { std::filesystem::remove(path_); }
    token_file(const token_file&) = delete;
    token_file& operator=(const token_file&) = delete;

    std::string option() const { return "--token-file=" + path_.string(); }

private:
    std::filesystem::path path_;
};

ctl_run run_against(const running_admin& admin,
                    std::vector<std::string> arguments) {
    arguments.push_back("--admin=" + admin.address());
    const token_file file(token);
    arguments.push_back(file.option());
    auto run = run_ctl(arguments);
    // The port differs from run to run, its width does not.
    for (auto at = run.out.find(admin.address()); at != std::string::npos;
         at = run.out.find(admin.address())) {
        run.out.replace(at, admin.address().size(), "127.0.0.1:admin");
    }
    return run;
}

} // namespace

TEST_CASE("each query shows one document as a table") {
    const running_admin admin;
    for (const std::string command :
         {"status", "members", "owners", "backends", "config", "quarantine"}) {
        const auto run = run_against(admin, {command});
        CHECK(run.code == 0);
        CHECK(run.err.empty());
        check_expected(command, run.out);
    }
}

TEST_CASE("a request's way is explained") {
    const running_admin admin;
    const auto run = run_against(
        admin, {"explain", "--tenant=leagues", "assign-desk", "POST", "/m 1"});
    CHECK(run.code == 0);
    check_expected("explain", run.out);
}

TEST_CASE("watch begins with all that is there") {
    const running_admin admin;
    const auto run =
        run_against(admin, {"watch", "--count=2", "--interval-ms=1"});
    CHECK(run.code == 0);
    check_expected("watch", run.out);
}

TEST_CASE("JSON output holds the documents as the instances gave them") {
    const running_admin admin;
    const auto run = run_against(admin, {"owners", "--json"});
    CHECK(run.code == 0);
    const auto all = nlohmann::json::parse(run.out);
    CHECK(all[0]["document"]["services"][0]["service"] == "assign-desk");
}

TEST_CASE("check by an instance tells what the file would change") {
    const running_admin admin;
    const auto run =
        run_against(admin, {"check", WAXWING_TEST_DATA "/good.json"});
    CHECK(run.code == 0);
    CHECK(run.out.find("against revision 7: service slate-view added") !=
          std::string::npos);
}

TEST_CASE("an instance that refuses or is gone is named") {
    // One of several instances is down when the operator looks. The others
    // are shown, and the exit code tells scripts that the picture has a gap.
    std::string gone;
    {
        const running_admin stopped;
        gone = stopped.address();
    }
    const running_admin admin;
    const token_file file("another-token");
    const auto run = run_ctl(
        {"config", "--admin=" + admin.address() + "," + gone, file.option()});
    CHECK(run.code == 1);
    CHECK(run.err.find("ask " + admin.address() +
                       ": refused: status 401: expected Authorization") == 0);
    CHECK(run.err.find("connect " + gone) != std::string::npos);
}
