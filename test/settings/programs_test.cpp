#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

#include "standin/process.hpp"
#include "standin/temporary_folder.hpp"

using namespace waxwingvale::standin;

namespace {

std::string example_settings() {
    std::ifstream file(WAXWING_SOURCE "/examples/settings.json");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

// The exit code of a run that ends by itself.
int exit_code(const std::string& program,
              const std::vector<std::string>& arguments) {
    child_process run(program, arguments);
    return run.wait().value();
}

} // namespace

TEST_CASE("the node checks its settings") {
    const temporary_folder folder;
    const auto good =
        "--settings=" + folder.write("good.json", example_settings());
    const auto bad =
        "--settings=" +
        folder.write("bad.json", replaced(example_settings(), "7180", "-1"));
    const std::string program = "waxwing-node";
    {
        CHECK(exit_code(program, {good, "--check-settings"}) == 0);
        CHECK(exit_code(program, {bad, "--check-settings"}) == 3);
        CHECK(exit_code(program, {bad}) == 3);
        CHECK(exit_code(program, {"--version"}) == 0);
        CHECK(exit_code(program, {"--help"}) == 0);
        CHECK(exit_code(program, {"--unknown"}) == 2);
    }
}

TEST_CASE("a program whose address is not to be had says so and ends") {
    // Two programs are given one port, or a machine has lost its address. The
    // operator sees it at once, and not as a program that serves nobody.
    const temporary_folder folder;
    const auto elsewhere =
        replaced(example_settings(), "\"host\": \"127.0.0.1\",\n",
                 "\"host\": \"192.0.2.1\",\n");
    const auto option = "--settings=" + folder.write("s.json", elsewhere);
    const std::string program = "waxwing-node";
    { CHECK(exit_code(program, {option}) == 4); }
}

TEST_CASE("a settings file that changes all the time is read all the same") {
    // Guards against seeds that are never taken over while something rewrites
    // the file again and again.
    const temporary_folder folder;
    auto text = example_settings();
    for (const auto* port : {"7180", "7181", "7190", "7192"}) {
        text = replaced(text, port, std::to_string(free_port()));
    }
    text = replaced(text, "\"control_port\": 7102,\n",
                    "\"control_port\": " + std::to_string(free_port()) + ",\n");
    const auto file = folder.write("s.json", text);
    child_process node("waxwing-node", {"--settings=" + file});
    node.read_ready();
    constexpr int changes = 70;
    for (int each = 0; each < changes; ++each) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        folder.write("new.json", text + std::string(each % 2, '\n'));
        std::rename(folder.file("new.json").c_str(), file.c_str());
    }
    node.signal(SIGTERM);
    const auto log = node.read_rest();
    std::size_t reloads = 0;
    for (auto at = log.find("event=settings_reloaded"); at != std::string::npos;
         at = log.find("event=settings_reloaded", at + 1)) {
        ++reloads;
    }
    CHECK(reloads >= 2);
}
