#include "platform/connection_sender.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace waxwingvale::platform {

namespace {

std::string hexadecimal(std::uint16_t port) {
    char text[8];
    std::snprintf(text, sizeof text, ":%04X", port);
    return text;
}

bool ends_with(const std::string& text, const std::string& end) {
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// The inode of the socket at the sender's end, as the system lists it.
std::string inode_of(std::uint16_t sender_port, std::uint16_t server_port) {
    std::ifstream list("/proc/net/tcp");
    std::string line;
    std::getline(list, line);
    while (std::getline(list, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string skipped;
        std::string inode;
        words >> number >> local >> remote;
        for (int each = 0; each < 6; ++each) {
            words >> skipped;
        }
        words >> inode;
        if (ends_with(local, hexadecimal(sender_port)) &&
            ends_with(remote, hexadecimal(server_port))) {
            return inode;
        }
    }
    return "";
}

bool holds_socket(pid_t process, const std::string& inode) {
    const auto name = "socket:[" + inode + "]";
    std::error_code failed;
    const auto folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& each :
         std::filesystem::directory_iterator(folder, failed)) {
        std::error_code gone;
        if (std::filesystem::read_symlink(each.path(), gone) == name) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<std::size_t>
sender_of_connection(std::uint16_t sender_port, std::uint16_t server_port,
                     const std::vector<pid_t>& processes) {
    const auto inode = inode_of(sender_port, server_port);
    for (std::size_t each = 0; each < processes.size(); ++each) {
        if (!inode.empty() && holds_socket(processes[each], inode)) {
            return each;
        }
    }
    return std::nullopt;
}

} // namespace waxwingvale::platform
