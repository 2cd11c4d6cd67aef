#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include <nlohmann/json.hpp>

#include "standin/process_output.hpp"

namespace waxwingvale::standin {

// Bounds on waiting in tests: far above what anything takes on a busy machine,
// so that reaching one is a fault and never a matter of speed.
constexpr std::chrono::milliseconds patience = std::chrono::seconds(20);

// Asks again and again until the condition holds or the bound has passed;
// tells whether it held.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds bound = patience);

// A free port of 127.0.0.1 for programs that must be told theirs. No other
// test process is given it while this one lives, and it lies below the range
// from which the machine takes ports for outgoing connections.
std::uint16_t free_port();

// The full path of a program of the build: "waxwing-node", or a stand-in
// ("standin-backend"). Reads the folder from WAXWING_BIN.
std::string program_path(const std::string& name);

// A program run by a test as a process of its own. The process is killed and
// reaped when this object goes, also when a check fails half way; it dies with
// the test process too.
class child_process {
public:
    // Starts it; throws std::runtime_error when that fails.
    child_process(const std::string& program,
                  const std::vector<std::string>& arguments);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return id_; }

    // The next line of its standard output. Throws when none comes within the
    // bound or the output ends.
    std::string read_line(std::chrono::milliseconds bound = patience);
    // The next line that is a document, decoded; programs print one such line
    // when ready, after what they have to log before.
    nlohmann::json read_ready(std::chrono::milliseconds bound = patience);
    // All further output up to its end.
    std::string read_rest(std::chrono::milliseconds bound = patience);

    // Sends a signal (SIGKILL, SIGTERM, SIGSTOP, SIGCONT).
    void signal(int number) const;
    // Waits for its end. The exit code, or 128 + signal when it was killed;
    // nothing when it still runs after the bound. What it has written is read
    // by then.
    std::optional<int> wait(std::chrono::milliseconds bound = patience);
    bool running();
    // The most memory that it has held so far, in KiB; 0 when it has ended.
    std::size_t peak_memory() const;
    // Kills it by SIGKILL and reaps it.
    void kill();

private:
    pid_t id_ = -1;
    std::unique_ptr<process_output> output_;
    std::optional<int> ended_;
};

} // namespace waxwingvale::standin
