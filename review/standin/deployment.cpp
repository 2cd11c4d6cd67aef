#include "deployment.hpp"

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "../../test/platform/settings_template.hpp"
#include "http.hpp"

namespace review {

namespace {

using nlohmann::ordered_json;

// From the first port on: front, ready, control, directory, and sixteen
// between machines.
constexpr unsigned ready_offset = 1;
constexpr unsigned control_offset = 2;
constexpr unsigned directory_offset = 3;
constexpr unsigned internal_offset = 4;
constexpr unsigned internal_count = 16;
constexpr unsigned ports_of_machine = internal_offset + internal_count;
constexpr unsigned least_port = 12000;
constexpr unsigned port_blocks = 900;
constexpr unsigned most_seeds = 3;
constexpr const char* settings_of_platform = "/etc/waxwingvale/local.toml";

std::string text_of(const std::string& name) {
    const std::ifstream from(name);
    std::ostringstream text;
    text << from.rdbuf();
    return text.str();
}

std::string host_of(unsigned machine) {
    return "127.0.7." + std::to_string(machine + 1);
}

bool all_free(unsigned first, unsigned machines) {
    for (unsigned machine = 0; machine < machines; ++machine) {
        for (unsigned port = first; port < first + ports_of_machine; ++port) {
            const int bound =
                listen_on(host_of(machine), static_cast<std::uint16_t>(port));
            if (bound < 0) {
                return false;
            }
            close_descriptor(bound);
        }
    }
    return true;
}

unsigned free_ports(unsigned machines) {
    const auto begin = static_cast<unsigned>(::getpid());
    for (unsigned each = 0; each < port_blocks; ++each) {
        const auto first =
            least_port + (begin + each) % port_blocks * ports_of_machine;
        if (all_free(first, machines)) {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

// The words of the line `run` of the deploy file, with another settings file.
std::vector<std::string> run_words(const std::string& root,
                                   const std::string& settings) {
    std::istringstream lines(text_of(root + "/deploy/system.toml"));
    std::string line;
    const std::string begin = "run = \"";
    while (std::getline(lines, line) && line.compare(0, begin.size(), begin)) {
    }
    auto command = line.substr(begin.size(), line.rfind('"') - begin.size());
    const std::string named = settings_of_platform;
    const auto at = command.find(named);
    if (at != std::string::npos) {
        command.replace(at, named.size(), settings);
    }
    std::istringstream split(command);
    std::vector<std::string> words;
    for (std::string word; split >> word;) {
        words.push_back(word);
    }
    return words;
}

[[noreturn]] void become(const std::string& root,
                         std::vector<std::string> words,
                         const std::string& log) {
    // Nothing is left when the case itself is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    if (::chdir(root.c_str()) == 0) {
        ::execv(arguments[0], arguments.data());
    }
    ::_exit(127);
}

} // namespace

deployment::deployment(std::string root, unsigned machines,
                       const std::string& store)
    : root_(std::move(root)),
      store_(store),
      first_port_(free_ports(machines)),
      processes_(machines, 0) {
    const auto pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    std::vector<char> name(pattern.begin(), pattern.end());
    name.push_back('\0');
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = name.data();
}

deployment::~deployment() {
    for (unsigned machine = 0; machine < processes_.size(); ++machine) {
        signal(machine, SIGKILL);
        signal(machine, SIGCONT);
        await_end(machine);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string deployment::host(unsigned machine) const {
    return host_of(machine);
}

std::uint16_t deployment::front_port() const {
    return static_cast<std::uint16_t>(first_port_);
}

std::string deployment::zone(unsigned machine) const {
    return "zone-" + std::to_string(machine % 2);
}

std::string deployment::listen_address(unsigned machine, unsigned port) const {
    return host(machine) + ":" + std::to_string(first_port_ + port);
}

std::string deployment::file(unsigned machine, const char* suffix) const {
    return folder_ + "/" + std::to_string(machine) + suffix;
}

// The fields are those of the users' page, with the figures of their smaller
// deployments.
std::string deployment::settings(unsigned machine) const {
    auto seeds = ordered_json::array();
    for (unsigned each = 0; each < processes_.size() && each < most_seeds;
         ++each) {
        seeds.push_back(listen_address(each, control_offset));
    }
    const auto internal = first_port_ + internal_offset;
    const ordered_json fields = {
        {"NodeName", "edge-" + std::to_string(machine + 1)},
        {"Zone", zone(machine)},
        {"Ip", host(machine)},
        {"InternalPortRange", {internal, internal + internal_count - 1}},
        {"Seeds", seeds},
        {"Zones", {{"zone-0", "region"}, {"zone-1", "region"}}},
        {"ListenAddrs",
         {{"Front", listen_address(machine, 0)},
          {"Ready", listen_address(machine, ready_offset)},
          {"Control", listen_address(machine, control_offset)},
          {"Directory", listen_address(machine, directory_offset)}}},
        {"Limits", {{"CpuShare", 0.2}, {"CpuCores", 1}, {"LinkMbps", 1000.0}}},
        {"Bounds",
         {{"GracePeriod", 6},
          {"ttl_max", 5},
          {"RetryBudgetRatio", 0.2},
          {"BudgetWindow", 10},
          {"RetryBudgetExtra", 62}}},
        {"Platform", {{"Address", store_}, {"ReadsPerS", 2000}}}};
    return waxwingvale::platform::render_template(
        text_of(root_ + "/deploy/settings.json"), fields);
}

void deployment::start_all() {
    for (unsigned machine = 0; machine < processes_.size(); ++machine) {
        start(machine);
    }
}

void deployment::start(unsigned machine) {
    const auto settings_file = file(machine, ".json");
    std::ofstream(settings_file) << settings(machine);
    auto words = run_words(root_, settings_file);
    const auto log = file(machine, ".log");
    const pid_t started = ::fork();
    if (started == 0) {
        become(root_, std::move(words), log);
    }
    processes_.at(machine) = started;
}

bool deployment::await_ready(unsigned seconds) const {
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    unsigned ready = 0;
    while (ready < processes_.size()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        connection asking(
            connect_to(host(ready),
                       static_cast<std::uint16_t>(first_port_ + ready_offset)));
        const bool asked =
            asking.valid() &&
            asking.send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = asked ? asking.read(false) : std::nullopt;
        if (answer && answer->status() == 200) {
            ++ready;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    return true;
}

void deployment::signal(unsigned machine, int number) const {
    if (processes_.at(machine) > 0) {
        ::kill(processes_.at(machine), number);
    }
}

void deployment::await_end(unsigned machine) {
    if (processes_.at(machine) > 0) {
        ::waitpid(processes_.at(machine), nullptr, 0);
        processes_.at(machine) = 0;
    }
}

bool deployment::running(unsigned machine) {
    if (processes_.at(machine) <= 0) {
        return false;
    }
    const bool ended = ::waitpid(processes_.at(machine), nullptr, WNOHANG) != 0;
    if (ended) {
        processes_.at(machine) = 0;
    }
    return !ended;
}

} // namespace review
