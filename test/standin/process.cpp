#include "standin/process.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace waxwingvale::standin {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_interval{2};
constexpr int signal_exit_base = 128;
constexpr int exec_failed = 127;

// Below 32768, where Linux begins to take ports for outgoing connections.
constexpr unsigned first_port = 20000;
constexpr unsigned port_count = 12000;
constexpr unsigned ports_by_process = 64;
// Test processes mark their ports as taken at this address of loopback. The
// servers under test share ports without complaint (SO_REUSEPORT), so that two
// tests with the same one would serve each other's callers.
constexpr const char* reservation_host = "127.77.0.1";

// A socket bound to that port, which must be free there; -1 when it is not.
int bind_to(const char* host, std::uint16_t port) {
    const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host, &address.sin_addr);
    if (bind(bound, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
        0) {
        return bound;
    }
    close(bound);
    return -1;
}

// Marks the port as this process's for the rest of its life.
bool reserve(std::uint16_t port) {
    const int mark = bind_to(reservation_host, port);
    if (mark < 0) {
        return false;
    }
    const int probe = bind_to("127.0.0.1", port);
    if (probe < 0) {
        close(mark);
        return false;
    }
    close(probe);
    return true;
}

std::runtime_error system_failure(const std::string& step) {
    return std::runtime_error(step + ": " + std::strerror(errno));
}

// In the child, between fork and exec: only calls that are safe there.
[[noreturn]] void become(const char* program, char* const* arguments,
                         int output) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    execv(program, arguments);
    _exit(exec_failed);
}

int exit_code_of(int status) {
    return WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status)
                               : WEXITSTATUS(status);
}

} // namespace

bool wait_until(const std::function<bool()>& condition, milliseconds bound) {
    const auto until = steady_clock::now() + bound;
    while (!condition()) {
        if (steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::uint16_t free_port() {
    static auto next = static_cast<unsigned>(getpid()) * ports_by_process;
    for (unsigned tried = 0; tried < port_count; ++tried) {
        const auto port =
            static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (reserve(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

std::string program_path(const std::string& name) {
    const char* folder = std::getenv("WAXWING_BIN");
    if (folder == nullptr) {
        throw std::runtime_error("WAXWING_BIN: expected the build folder");
    }
    const std::string base = folder;
    const bool standin = name.compare(0, 8, "standin-") == 0;
    return base + (standin ? "/test/" : "/") + name;
}

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments) {
    const auto path = program_path(program);
    std::vector<std::string> words = {path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> raw;
    raw.reserve(words.size() + 1);
    for (auto& word : words) {
        raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw system_failure("open a pipe");
    }
    id_ = fork();
    if (id_ == 0) {
        become(path.c_str(), raw.data(), ends[1]);
    }
    close(ends[1]);
    if (id_ < 0) {
        close(ends[0]);
        throw system_failure("fork");
    }
    output_ = std::make_unique<process_output>(ends[0]);
}

child_process::~child_process() {
    if (id_ > 0) {
        kill();
    }
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)),
      output_(std::move(other.output_)),
      ended_(other.ended_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
    std::swap(id_, other.id_);
    std::swap(output_, other.output_);
    std::swap(ended_, other.ended_);
    return *this;
}

std::string child_process::read_line(milliseconds bound) {
    auto line = output_->next_line(steady_clock::now() + bound);
    if (!line) {
        throw std::runtime_error(
            "no line from process " + std::to_string(id_) +
            (running() ? ", which runs"
                       : ", exit code " + std::to_string(*ended_)));
    }
    return std::move(*line);
}

nlohmann::json child_process::read_ready(milliseconds bound) {
    auto line = read_line(bound);
    while (line.empty() || line.front() != '{') {
        line = read_line(bound); // of the log
    }
    return nlohmann::json::parse(line);
}

std::string child_process::read_rest(milliseconds bound) {
    return output_->rest(steady_clock::now() + bound);
}

void child_process::signal(int number) const {
    if (id_ > 0 && !ended_) {
        ::kill(id_, number);
    }
}

std::optional<int> child_process::wait(milliseconds bound) {
    const auto until = steady_clock::now() + bound;
    if (wait_until([this] { return !running(); }, bound)) {
        output_->wait_for_end(until);
    }
    return ended_;
}

bool child_process::running() {
    int status = 0;
    if (!ended_ && waitpid(id_, &status, WNOHANG) == id_) {
        ended_ = exit_code_of(status);
    }
    return !ended_;
}

std::size_t child_process::peak_memory() const {
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    std::string word;
    std::size_t peak = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> peak;
        }
    }
    return peak;
}

void child_process::kill() {
    if (!running()) {
        return;
    }
    signal(SIGKILL);
    int status = 0;
    waitpid(id_, &status, 0);
    ended_ = exit_code_of(status);
}

} // namespace waxwingvale::standin
