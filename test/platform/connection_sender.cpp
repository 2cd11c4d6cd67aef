#include "platform/connection_sender.hpp"

#include <arpa/inet.h>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingvale::platform {

namespace {

struct diagnosis_request {
    nlmsghdr header;
    inet_diag_req_v2 of;
};

diagnosis_request request_for(std::uint16_t sender_port,
                              std::uint16_t server_port) {
    diagnosis_request made{};
    made.header.nlmsg_len = sizeof made;
    made.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    made.header.nlmsg_flags = NLM_F_REQUEST;
    made.of.sdiag_family = AF_INET;
    made.of.sdiag_protocol = IPPROTO_TCP;
    made.of.idiag_states = ~0U;
    made.of.id.idiag_sport = htons(sender_port);
    made.of.id.idiag_dport = htons(server_port);
    made.of.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    made.of.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    made.of.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    made.of.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return made;
}

// The inode of the socket at the sender's end. The list of all sockets would
// take far longer on a busy machine.
std::string inode_of(std::uint16_t sender_port, std::uint16_t server_port) {
    const int asking =
        ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    auto request = request_for(sender_port, server_port);
    alignas(nlmsghdr) char answer[1024];
    const auto sent = ::send(asking, &request, sizeof request, 0);
    const auto size =
        sent < 0 ? sent : ::recv(asking, answer, sizeof answer, 0);
    ::close(asking);
    const auto* header = reinterpret_cast<const nlmsghdr*>(answer);
    const bool found = size >= static_cast<ssize_t>(NLMSG_LENGTH(0)) &&
                       header->nlmsg_type == SOCK_DIAG_BY_FAMILY;
    if (!found) {
        return "";
    }
    const auto* socket =
        reinterpret_cast<const inet_diag_msg*>(NLMSG_DATA(header));
    return std::to_string(socket->idiag_inode);
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
