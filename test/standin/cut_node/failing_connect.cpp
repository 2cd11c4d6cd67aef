#include <cerrno>
#include <cstdint>
#include <fstream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

// Linked with --wrap=connect: connections to the ports that a test names in a
// file beside the settings fail at once, with the system's error number that
// stands before them. Nothing is sent for these.

namespace {

std::string settings_file() {
    const std::string option = "--settings=";
    std::ifstream words("/proc/self/cmdline");
    std::string word;
    while (std::getline(words, word, '\0')) {
        if (word.compare(0, option.size(), option) == 0) {
            return word.substr(option.size());
        }
    }
    return "";
}

// Zero: the connection is made.
int failure_at(std::uint16_t port) {
    static const auto name = settings_file() + ".connects";
    std::ifstream file(name);
    int number = 0;
    file >> number;
    unsigned listed = 0;
    while (file >> listed) {
        if (listed == port) {
            return number;
        }
    }
    return 0;
}

} // namespace

// The names that the linker gives to the system's function and to ours.
extern "C" int system_connect(int descriptor, const sockaddr* to,
                              socklen_t size) __asm__("__real_connect");
extern "C" int failing_connect(int descriptor, const sockaddr* to,
                               socklen_t size) __asm__("__wrap_connect");

int failing_connect(int descriptor, const sockaddr* to, socklen_t size) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(to);
    const int failure =
        to->sa_family == AF_INET ? failure_at(ntohs(v4->sin_port)) : 0;
    if (failure != 0) {
        errno = failure;
        return -1;
    }
    return system_connect(descriptor, to, size);
}
