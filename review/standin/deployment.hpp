#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// The machines of a small deployment, each a process of the program that the
// deploy file names, at a loopback address of its own. Processes that are left
// are killed with the object.
class deployment {
public:
    // `root` is the repository.
    deployment(std::string root, unsigned machines, const std::string& store);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start_all();
    void start(unsigned machine);
    // Waits until all say that they are ready.
    bool await_ready(unsigned seconds) const;
    void signal(unsigned machine, int number) const;
    // Waits for the end of a process.
    void await_end(unsigned machine);
    bool running(unsigned machine);

    std::string host(unsigned machine) const;
    std::uint16_t front_port() const;
    std::string zone(unsigned machine) const;

private:
    std::string settings(unsigned machine) const;
    std::string listen_address(unsigned machine, unsigned port) const;
    std::string file(unsigned machine, const char* suffix) const;

    std::string root_;
    std::string store_;
    std::string folder_;
    unsigned first_port_;
    std::vector<pid_t> processes_; // 0: none runs
};

} // namespace review
